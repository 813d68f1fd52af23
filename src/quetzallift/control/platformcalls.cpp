#include "quetzallift/control/platformcalls.h"

#include "quetzallift/control/burn.h"
#include "quetzallift/control/claims.h"
#include "quetzallift/control/handlers.h"
#include "quetzallift/control/hostlist.h"
#include "quetzallift/control/rollout.h"
#include "quetzallift/core/reducecontext.h"

#include <algorithm>

namespace Quetzallift
{
namespace
{
const char *outcomeName(PlatformOutcome outcome)
{
    switch (outcome) {
    case PlatformOutcome::Applied:
        return "applied";
    case PlatformOutcome::NotApplied:
        return "not_applied";
    case PlatformOutcome::Unknown:
        break;
    }
    return "unknown";
}
}

void callPlatform(ReduceContext &context, PlatformPurpose purpose, PlatformRequest request, std::uint64_t claim)
{
    ControlState &state = context.state.control;
    const PlatformCallId call{++state.lastCall};
    state.calls[call] = PendingCall{purpose, claim};
    context.emit(CallPlatform{call, std::move(request)});
}

Duration jitter(ReduceContext &context, Duration limit)
{
    return Duration(static_cast<Duration::rep>(context.state.hooks.random() % static_cast<std::uint64_t>(limit.count() + 1)));
}

Duration backoff(ReduceContext &context, unsigned failures)
{
    constexpr Duration First = std::chrono::milliseconds(250);
    // Long enough that a fleet that waits for the platform does not overload it when it returns.
    constexpr Duration Longest = std::chrono::seconds(10);
    constexpr unsigned MaximumDoublings = 6;
    return jitter(context, std::min(Longest, First * (1U << std::min(failures, MaximumDoublings))));
}

void handlePlatformReplied(ReduceContext &context, const PlatformReplied &event)
{
    ControlState &state = context.state.control;
    const auto found = state.calls.find(event.call);
    if (found == state.calls.end()) {
        return;
    }
    const PendingCall call = found->second;
    state.calls.erase(found);
    context.emit(CountMetric{Metric::PlatformCalls, outcomeName(event.reply.outcome)});
    switch (call.purpose) {
    case PlatformPurpose::ReadRollout:
    case PlatformPurpose::WatchRollout:
        handleRolloutReply(context, event.reply);
        break;
    case PlatformPurpose::ReadBundle:
        handleBundleReply(context, event.reply);
        break;
    case PlatformPurpose::ReadHosts:
        handleHostListReply(context, event.reply);
        break;
    case PlatformPurpose::CreateClaim:
        handleClaimCreated(context, call.claim, event.reply);
        break;
    case PlatformPurpose::ReadClaim:
        handleClaimRead(context, call.claim, event.reply);
        break;
    case PlatformPurpose::ReadBurn:
        handleBurnRead(context, event.reply);
        break;
    case PlatformPurpose::WriteBurn:
        handleBurnWritten(context, event.reply);
        break;
    case PlatformPurpose::RecordOutcome:
        break;
    }
}
}
