#include "quetzallift/control/rollout.h"

#include "quetzallift/control/platformcalls.h"
#include "quetzallift/control/publish.h"
#include "quetzallift/core/reducecontext.h"

namespace Quetzallift
{
namespace
{
// The platform answers a watch at the latest after this time.
constexpr Duration WatchTimeout = std::chrono::seconds(30);
// Longest wait before the platform is tried again.
constexpr Duration RetryLimit = std::chrono::seconds(1);

void retryLater(ReduceContext &context)
{
    context.emit(StartTimer{{TimerKind::PlatformRetry, 0}, context.now + jitter(context, RetryLimit)});
}

void readBundle(ReduceContext &context)
{
    PlatformRequest request;
    request.object = "bundle/" + context.state.control.wanted.digest;
    callPlatform(context, PlatformPurpose::ReadBundle, std::move(request));
}
}

void followRollout(ReduceContext &context)
{
    ControlState &state = context.state.control;
    PlatformRequest request;
    request.object = "rollout";
    if (state.rolloutVersion == 0) {
        callPlatform(context, PlatformPurpose::ReadRollout, std::move(request));
        return;
    }
    request.verb = PlatformVerb::Watch;
    request.version = state.rolloutVersion;
    request.timeout = WatchTimeout;
    callPlatform(context, PlatformPurpose::WatchRollout, std::move(request));
}

void handleRolloutReply(ReduceContext &context, const PlatformReply &reply)
{
    ControlState &state = context.state.control;
    const auto *rollout = std::get_if<RolloutRecord>(&reply.value);
    if (reply.outcome != PlatformOutcome::Applied || rollout == nullptr) {
        retryLater(context);
        return;
    }
    state.rolloutVersion = reply.version;
    if (rollout->generation > state.generation && rollout->generation > state.wanted.generation) {
        state.wanted = *rollout;
        readBundle(context);
    }
    followRollout(context);
}

void handleBundleReply(ReduceContext &context, const PlatformReply &reply)
{
    ControlState &state = context.state.control;
    const auto *bundle = std::get_if<BundlePtr>(&reply.value);
    if (reply.outcome != PlatformOutcome::Applied || bundle == nullptr) {
        state.wanted = {};
        state.rolloutVersion = 0;
        retryLater(context);
        return;
    }
    if ((*bundle)->digest != state.wanted.digest || state.wanted.generation <= state.generation) {
        return;
    }
    state.generation = state.wanted.generation;
    state.bundle = *bundle;
    context.emit(CountMetric{Metric::BundlesAdopted, {}});
    context.emit(WriteLog{{LogLevel::Info, Step::Adopt, "platform", {}, "adopted generation " + std::to_string(state.generation.value)}});
    publish(context);
}
}
