#include "quetzallift/control/rollout.h"

#include "quetzallift/control/platformcalls.h"
#include "quetzallift/control/publish.h"
#include "quetzallift/control/watchers.h"
#include "quetzallift/core/reducecontext.h"

namespace Quetzallift
{
namespace
{
// Maximum time until the platform answers a watch.
constexpr Duration WatchTimeout = std::chrono::seconds(30);
// Maximum wait before the next read of a rollout object that does not exist yet.
constexpr Duration MaximumAbsentWait = std::chrono::seconds(1);
const std::string Platform = "platform";

// Verifies the digest and the approval. Returns the reason for a refusal, or an empty text.
std::string refusalOf(const ReduceContext &context, const RolloutRecord &rollout, const Bundle &bundle)
{
    if (bundle.digest != rollout.digest) {
        return "the bundle has digest " + bundle.digest + " and the rollout names " + rollout.digest;
    }
    return context.state.hooks.verifyApproval(rollout, bundle);
}

// Counts a refusal, and logs it unless the same rollout was refused just before.
void recordRefusal(ReduceContext &context, const RolloutRecord &rollout, const std::string &source, const std::string &reason)
{
    RolloutRecord &last = context.state.control.lastRefused;
    context.emit(CountMetric{Metric::BundlesRefused, source == Platform ? "platform" : "peer"});
    if (last.generation == rollout.generation && last.digest == rollout.digest && last.approval.signature == rollout.approval.signature) {
        return;
    }
    last = rollout;
    const std::string text = "refused generation " + std::to_string(rollout.generation.value) + ": " + reason + "; generation "
                             + std::to_string(context.state.control.generation.value) + " stays in force";
    context.emit(WriteLog{{LogLevel::Error, Step::Adopt, source, {}, text}});
}

void adopt(ReduceContext &context, const RolloutRecord &rollout, const BundlePtr &bundle, const std::string &source)
{
    ControlState &state = context.state.control;
    state.generation = rollout.generation;
    state.bundle = bundle;
    state.rollout = rollout;
    state.adoptedAt = context.now;
    context.emit(CountMetric{Metric::BundlesAdopted, {}});
    context.emit(WriteLog{{LogLevel::Info, Step::Adopt, source, {}, "adopted generation " + std::to_string(state.generation.value)}});
    publishSnapshot(context);
}

// Makes a rollout with a higher generation the pending one and reads its bundle; a bundle in memory is offered without
// a read.
void fetchRollout(ReduceContext &context, const RolloutRecord &rollout)
{
    ControlState &state = context.state.control;
    if (rollout.generation <= state.generation || rollout.generation <= state.pendingRollout.generation) {
        return;
    }
    state.pendingRollout = rollout;
    state.bundleFailures = 0;
    if (state.bundle && state.bundle->digest == rollout.digest) {
        offerRollout(context, rollout, state.bundle, Platform);
        return;
    }
    readPendingBundle(context);
}
}

void watchRollout(ReduceContext &context)
{
    ControlState &state = context.state.control;
    PlatformRequest request;
    request.object = "rollout";
    if (state.rolloutVersion == 0) {
        callPlatform(context, PlatformPurpose::ReadRollout, std::move(request));
        return;
    }
    if (!state.watching) {
        context.emit(StartTimer{{TimerKind::RolloutPoll, ++state.pollSerial}, context.now + pollPeriod(context)});
        return;
    }
    request.verb = PlatformVerb::Watch;
    request.version = state.rolloutVersion;
    request.timeout = WatchTimeout;
    callPlatform(context, PlatformPurpose::WatchRollout, std::move(request));
}

void pollRollout(ReduceContext &context)
{
    PlatformRequest request;
    request.object = "rollout";
    callPlatform(context, PlatformPurpose::ReadRollout, std::move(request));
}

void handleRolloutReply(ReduceContext &context, const PlatformReply &reply)
{
    ControlState &state = context.state.control;
    const auto *rollout = std::get_if<RolloutRecord>(&reply.value);
    if (reply.outcome != PlatformOutcome::Applied || rollout == nullptr) {
        const bool absent = reply.outcome == PlatformOutcome::NotApplied;
        const Duration wait = absent ? jitter(context, MaximumAbsentWait) : backoff(context, state.rolloutFailures++);
        context.emit(StartTimer{{TimerKind::PlatformRetry, 0}, context.now + wait});
        return;
    }
    state.rolloutFailures = 0;
    state.rolloutVersion = reply.version;
    fetchRollout(context, *rollout);
    watchRollout(context);
}

void readPendingBundle(ReduceContext &context)
{
    const ControlState &state = context.state.control;
    if (state.pendingRollout.generation <= state.generation) {
        return;
    }
    PlatformRequest request;
    request.object = "bundle/" + state.pendingRollout.digest;
    callPlatform(context, PlatformPurpose::ReadBundle, std::move(request));
}

void handleBundleReply(ReduceContext &context, const PlatformReply &reply)
{
    ControlState &state = context.state.control;
    if (state.pendingRollout.generation <= state.generation) {
        return;
    }
    const auto *bundle = std::get_if<BundlePtr>(&reply.value);
    if (reply.outcome != PlatformOutcome::Applied || bundle == nullptr) {
        context.emit(
            WriteLog{{LogLevel::Warning, Step::Adopt, Platform, {}, "the bundle " + state.pendingRollout.digest + " cannot be read: " + reply.detail}});
        context.emit(StartTimer{{TimerKind::BundleRetry, 0}, context.now + backoff(context, state.bundleFailures++)});
        return;
    }
    offerRollout(context, state.pendingRollout, *bundle, Platform);
}

bool offerRollout(ReduceContext &context, const RolloutRecord &rollout, const BundlePtr &bundle, const std::string &source)
{
    if (rollout.generation <= context.state.control.generation || !bundle) {
        return false;
    }
    const std::string refusal = refusalOf(context, rollout, *bundle);
    if (!refusal.empty()) {
        recordRefusal(context, rollout, source, refusal);
        return false;
    }
    adopt(context, rollout, bundle, source);
    return true;
}
}
