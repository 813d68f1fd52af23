#include "quetzallift/control/claims.h"

#include "quetzallift/control/handlers.h"
#include "quetzallift/control/platformcalls.h"
#include "quetzallift/core/reducecontext.h"

#include <algorithm>

namespace Quetzallift
{
namespace
{
constexpr Duration MaximumCallTimeout = std::chrono::milliseconds(500);
constexpr Duration InitialRetryDelay = std::chrono::milliseconds(20);
// Number of reads and releases without a result after which the release of an abandoned claim is not retried.
constexpr unsigned MaximumReleaseReads = 12;
// Bounds the memory for claims; requests beyond it are answered with not_run.
constexpr std::size_t MaximumClaims = 4096;

PendingClaim *findClaim(ReduceContext &context, std::uint64_t claim)
{
    const auto found = context.state.control.claims.find(claim);
    return found == context.state.control.claims.end() ? nullptr : &found->second;
}

// Reports the result to the query once; the claim stays until it is removed.
void settle(ReduceContext &context, PendingClaim &pending, ClaimResult result, std::string detail, std::string answer = {})
{
    if (!std::exchange(pending.settled, true)) {
        context.emit(SettleClaim{pending.thread, {pending.query, result, std::move(answer), std::move(detail)}});
    }
}

void settleAndForget(ReduceContext &context, std::uint64_t claim, ClaimResult result, std::string detail, std::string answer = {})
{
    settle(context, context.state.control.claims.at(claim), result, std::move(detail), std::move(answer));
    context.state.control.claims.erase(claim);
}

void scheduleRead(ReduceContext &context, std::uint64_t claim, Duration wait)
{
    context.emit(StartTimer{{TimerKind::ClaimRetry, claim}, context.now + wait});
}

// Reports to the query that nothing was sent, and schedules a read of the claim in order to release it.
void abandon(ReduceContext &context, std::uint64_t claim, const std::string &detail)
{
    PendingClaim &pending = context.state.control.claims.at(claim);
    settle(context, pending, ClaimResult::NotClaimed, detail);
    pending.reads = 0;
    scheduleRead(context, claim, backoff(context, 0));
}

void release(ReduceContext &context, std::uint64_t claim, std::uint64_t version)
{
    const PendingClaim &pending = context.state.control.claims.at(claim);
    ClaimRecord record = pending.record;
    record.released = true;
    PlatformRequest request{PlatformVerb::Update, pending.object, version, std::move(record), MaximumCallTimeout};
    callPlatform(context, PlatformPurpose::ReleaseClaim, std::move(request), claim);
}

// Grants a claim whose object holds its token. After a pause beyond the deadline, the request must not be sent any more.
void grant(ReduceContext &context, std::uint64_t claim, std::uint64_t version)
{
    PendingClaim &pending = context.state.control.claims.at(claim);
    if (pending.settled || context.now >= pending.deadline) {
        settle(context, pending, ClaimResult::NotClaimed, "the claim was confirmed after the deadline; nothing was sent");
        release(context, claim, version);
        return;
    }
    context.state.control.heldClaims[pending.object] = {version, pending.record};
    settleAndForget(context, claim, ClaimResult::Granted, {});
}

void write(ReduceContext &context, std::uint64_t claim, PlatformVerb verb, std::uint64_t version)
{
    const PendingClaim &pending = context.state.control.claims.at(claim);
    // Half of the remaining time is reserved for reading the token.
    const Duration timeout = std::clamp<Duration>((pending.deadline - context.now) / 2, std::chrono::milliseconds(1), MaximumCallTimeout);
    PlatformRequest request{verb, pending.object, version, pending.record, timeout};
    callPlatform(context, PlatformPurpose::CreateClaim, std::move(request), claim);
}

void handleFailedRead(ReduceContext &context, std::uint64_t claim)
{
    PendingClaim &pending = context.state.control.claims.at(claim);
    if (pending.settled) {
        if (++pending.reads >= MaximumReleaseReads) {
            context.emit(WriteLog{
                {LogLevel::Warning, Step::Claim, "platform", pending.object, "the abandoned claim was not released and may still exist in the platform"}});
            context.state.control.claims.erase(claim);
            return;
        }
        scheduleRead(context, claim, backoff(context, pending.reads));
        return;
    }
    const Duration wait = InitialRetryDelay + jitter(context, InitialRetryDelay * (1U << std::min(pending.reads++, 4U)));
    if (context.now + wait < pending.deadline) {
        scheduleRead(context, claim, wait);
        return;
    }
    abandon(context, claim, "the platform does not answer; nothing was sent");
}

void handleAbsent(ReduceContext &context, std::uint64_t claim)
{
    PendingClaim &pending = context.state.control.claims.at(claim);
    if (pending.created == PlatformOutcome::NotApplied) {
        settleAndForget(context, claim, ClaimResult::NotClaimed, "the claim did not take effect");
    } else if (!pending.settled) {
        // An unanswered create may still arrive.
        abandon(context, claim, "the claim did not take effect in time; nothing was sent");
    } else {
        handleFailedRead(context, claim);
    }
}
}

void handleClaimRequested(ReduceContext &context, const ClaimRequested &event)
{
    ControlState &state = context.state.control;
    const std::uint64_t claim = ++state.lastClaim;
    PendingClaim pending{event.thread, event.query, event.object, {}, context.now + event.timeout};
    pending.record.token = state.self.name + "-" + std::to_string(context.state.hooks.random());
    pending.record.host = state.self.name;
    pending.record.fingerprint = event.fingerprint;
    const bool full = state.claims.size() >= MaximumClaims;
    state.claims.emplace(claim, std::move(pending));
    if (full || isPlatformDown(state)) {
        settleAndForget(context, claim, ClaimResult::NotClaimed, full ? "too many claims are waiting for the platform" : "the platform does not answer");
        return;
    }
    write(context, claim, PlatformVerb::Create, 0);
}

void handleClaimCreated(ReduceContext &context, std::uint64_t claim, const PlatformReply &reply)
{
    PendingClaim *pending = findClaim(context, claim);
    if (pending == nullptr) {
        return;
    }
    pending->created = reply.outcome;
    if (reply.outcome == PlatformOutcome::Applied) {
        grant(context, claim, reply.version);
        return;
    }
    readClaim(context, claim);
}

void readClaim(ReduceContext &context, std::uint64_t claim)
{
    const PendingClaim *pending = findClaim(context, claim);
    if (pending == nullptr) {
        return;
    }
    PlatformRequest request;
    request.object = pending->object;
    const Duration left = pending->settled ? MaximumCallTimeout : pending->deadline - context.now;
    request.timeout = std::clamp<Duration>(left, std::chrono::milliseconds(1), MaximumCallTimeout);
    callPlatform(context, PlatformPurpose::ReadClaim, std::move(request), claim);
}

void handleClaimRead(ReduceContext &context, std::uint64_t claim, const PlatformReply &reply)
{
    const PendingClaim *pending = findClaim(context, claim);
    if (pending == nullptr) {
        return;
    }
    const auto *record = std::get_if<ClaimRecord>(&reply.value);
    if (reply.outcome == PlatformOutcome::Unknown) {
        handleFailedRead(context, claim);
    } else if (record == nullptr) {
        handleAbsent(context, claim);
    } else if (record->token == pending->record.token) {
        grant(context, claim, reply.version);
    } else if (record->fingerprint != pending->record.fingerprint) {
        settleAndForget(context, claim, ClaimResult::Mismatch, "the request id was used for another request");
    } else if (record->finished) {
        settleAndForget(context, claim, ClaimResult::Finished, {}, record->answer);
    } else if (record->released && !pending->settled && context.now < pending->deadline) {
        write(context, claim, PlatformVerb::Update, reply.version);
    } else {
        settleAndForget(context, claim, ClaimResult::InDoubt, "the request was claimed by " + record->host + " and its outcome is not known");
    }
}

void handleClaimReleased(ReduceContext &context, std::uint64_t claim, const PlatformReply &reply)
{
    if (findClaim(context, claim) == nullptr) {
        return;
    }
    if (reply.outcome == PlatformOutcome::Unknown) {
        handleFailedRead(context, claim);
    } else {
        context.state.control.claims.erase(claim);
    }
}
}
