#include "quetzallift/control/platformcalls.h"

#include "quetzallift/control/burn.h"
#include "quetzallift/control/claims.h"
#include "quetzallift/control/discovery/discovery.h"
#include "quetzallift/control/handlers.h"
#include "quetzallift/control/hostlist.h"
#include "quetzallift/control/outcomes.h"
#include "quetzallift/control/publish.h"
#include "quetzallift/control/rollout.h"
#include "quetzallift/control/shares.h"
#include "quetzallift/core/reducecontext.h"

#include <algorithm>
#include <utility>

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

bool isWrite(const PlatformRequest &request)
{
    switch (request.verb) {
    case PlatformVerb::Create:
    case PlatformVerb::Update:
    case PlatformVerb::CreateHost:
    case PlatformVerb::UpdateHost:
    case PlatformVerb::DeleteHost:
        return true;
    default:
        return false;
    }
}

bool isWatch(const PlatformRequest &request)
{
    return request.verb == PlatformVerb::Watch || request.verb == PlatformVerb::WatchConfiguration || request.verb == PlatformVerb::WatchSearchers;
}

// Records when the platform became reachable or unreachable, and publishes the change for the status page.
void recordReachability(ReduceContext &context, PlatformOutcome outcome)
{
    ControlState &state = context.state.control;
    const bool wasReachable = state.platformFailures == 0 && state.platformSince != TimePoint();
    const bool answers = outcome != PlatformOutcome::Unknown;
    state.platformFailures = answers ? 0 : state.platformFailures + 1;
    if (answers != wasReachable) {
        state.platformSince = context.now;
        publishSnapshot(context);
    }
}

// The latest time for which the reply is known to hold. It may have waited at this host, so the time of its arrival says nothing; the
// platform composed it after the call was sent, and, if a watch saw no change, after the time of the watch.
TimePoint validAt(const ReduceContext &context, const PendingCall &call, const PlatformReply &reply)
{
    return reply.unchanged ? std::min(context.now, call.sentAt + call.watchTime) : call.sentAt;
}

void routeReply(ReduceContext &context, const PendingCall &call, const PlatformReply &reply)
{
    switch (call.purpose) {
    case PlatformPurpose::ReadRollout:
    case PlatformPurpose::WatchRollout:
        handleRolloutReply(context, reply);
        break;
    case PlatformPurpose::ReadBundle:
        handleBundleReply(context, reply);
        break;
    case PlatformPurpose::ReadHosts:
        handleHostListReply(context, reply);
        break;
    case PlatformPurpose::CreateClaim:
        handleClaimCreated(context, call.subject, reply);
        break;
    case PlatformPurpose::ReadClaim:
        handleClaimRead(context, call.subject, reply);
        break;
    case PlatformPurpose::ReadBurn:
        handleBurnRead(context, reply);
        break;
    case PlatformPurpose::WriteBurn:
        handleBurnWritten(context, reply);
        break;
    case PlatformPurpose::ReadShares:
        handleSharesRead(context, reply);
        break;
    case PlatformPurpose::WriteShares:
        handleSharesWritten(context, reply);
        break;
    case PlatformPurpose::ReleaseClaim:
        handleClaimReleased(context, call.subject, reply);
        break;
    case PlatformPurpose::RecordOutcome:
        handleOutcomeWritten(context, call.subject, reply);
        break;
    case PlatformPurpose::Configuration:
        handleConfigurationReply(context, reply, validAt(context, call, reply));
        break;
    case PlatformPurpose::ListSearchers:
        handleSearcherList(context, reply, validAt(context, call, reply));
        break;
    case PlatformPurpose::WatchSearchers:
        handleSearcherChanges(context, reply, validAt(context, call, reply));
        break;
    case PlatformPurpose::RegisterHost:
        handleHostRegistered(context, reply);
        break;
    case PlatformPurpose::RemoveHost:
        break;
    case PlatformPurpose::ReadOutcome:
        handleOutcomeRead(context, call.subject, reply);
        break;
    }
}
}

void callPlatform(ReduceContext &context, PlatformPurpose purpose, PlatformRequest request, std::uint64_t subject)
{
    ControlState &state = context.state.control;
    const PlatformCallId call{++state.lastCall};
    const Duration wait = takeCall(state.callBudget, isWrite(request), state.hostList.hosts.size(), context.now, request.timeout);
    PendingCall &pending = state.calls[call] = PendingCall{purpose, subject};
    pending.sentAt = context.now;
    pending.watchTime = isWatch(request) ? request.timeout : Duration::zero();
    if (wait == Duration::zero()) {
        context.emit(CallPlatform{call, std::move(request)});
        return;
    }
    pending.overBudget = wait > request.timeout;
    const Duration delay = pending.overBudget ? Duration::zero() : wait;
    pending.queuedRequest = std::move(request);
    context.emit(StartTimer{{TimerKind::PlatformBudget, call.value}, context.now + delay});
}

void sendQueuedCall(ReduceContext &context, PlatformCallId call)
{
    const auto found = context.state.control.calls.find(call);
    if (found == context.state.control.calls.end() || !found->second.queuedRequest) {
        return;
    }
    const PlatformRequest request = *std::exchange(found->second.queuedRequest, std::nullopt);
    if (!found->second.overBudget) {
        found->second.sentAt = context.now;
        context.emit(CallPlatform{call, request});
        return;
    }
    const PendingCall pending = found->second;
    context.state.control.calls.erase(found);
    PlatformReply reply;
    // A read that was not sent leaves the object unknown, but a write that was not sent has not taken effect.
    reply.outcome = isWrite(request) ? PlatformOutcome::NotApplied : PlatformOutcome::Unknown;
    reply.detail = "the platform call budget of this host is exhausted";
    context.emit(CountMetric{Metric::PlatformCalls, "over_budget"});
    routeReply(context, pending, reply);
}

bool isPlatformDown(const ControlState &state)
{
    // A single lost answer must not cause claims to be refused.
    constexpr unsigned FailuresWhenDown = 3;
    return state.platformFailures >= FailuresWhenDown;
}

Duration jitter(ReduceContext &context, Duration limit)
{
    return Duration(static_cast<Duration::rep>(context.state.hooks.random() % static_cast<std::uint64_t>(limit.count() + 1)));
}

Duration backoff(ReduceContext &context, unsigned failures)
{
    constexpr Duration First = std::chrono::milliseconds(250);
    // Long enough that the retries of the whole fleet do not overload the platform when it becomes available again.
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
    recordReachability(context, event.reply.outcome);
    routeReply(context, call, event.reply);
}
}
