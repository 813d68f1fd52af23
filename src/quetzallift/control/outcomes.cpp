#include "quetzallift/control/outcomes.h"

#include "quetzallift/control/handlers.h"
#include "quetzallift/control/platformcalls.h"
#include "quetzallift/core/reducecontext.h"

namespace Quetzallift
{
namespace
{
// Bounds the memory for outcomes during an outage. Claims are refused while the platform is unavailable, so only requests
// that were already claimed add outcomes.
constexpr std::size_t MaximumOutcomes = 4096;

void logOutcome(ReduceContext &context, LogLevel level, const PendingOutcome &pending, const std::string &message)
{
    context.emit(WriteLog{{level, Step::Claim, "platform", pending.object, message}});
}

void scheduleRetry(ReduceContext &context, std::uint64_t outcome, PendingOutcome &pending, const std::string &detail)
{
    if (pending.failures == 0) {
        logOutcome(context, LogLevel::Warning, pending, "recording the outcome failed and is retried: " + detail);
    }
    context.emit(StartTimer{{TimerKind::OutcomeRetry, outcome}, context.now + backoff(context, pending.failures++)});
}
}

void handleOutcomeRecorded(ReduceContext &context, const OutcomeRecorded &event)
{
    ControlState &state = context.state.control;
    const auto held = state.heldClaims.find(event.object);
    if (held == state.heldClaims.end()) {
        return;
    }
    PendingOutcome pending{event.object, held->second.first, held->second.second};
    state.heldClaims.erase(held);
    pending.record.finished = true;
    pending.record.answer = event.answer;
    if (state.outcomes.size() >= MaximumOutcomes) {
        logOutcome(context, LogLevel::Error, pending, "the outcome is not recorded: too many outcomes are waiting for the platform");
        return;
    }
    const std::uint64_t outcome = ++state.lastOutcome;
    state.outcomes.emplace(outcome, std::move(pending));
    writeOutcome(context, outcome);
}

void writeOutcome(ReduceContext &context, std::uint64_t outcome)
{
    const auto found = context.state.control.outcomes.find(outcome);
    if (found == context.state.control.outcomes.end()) {
        return;
    }
    const PendingOutcome &pending = found->second;
    PlatformRequest request{PlatformVerb::Update, pending.object, pending.version, pending.record, std::chrono::seconds(1)};
    callPlatform(context, PlatformPurpose::RecordOutcome, std::move(request), outcome);
}

void handleOutcomeWritten(ReduceContext &context, std::uint64_t outcome, const PlatformReply &reply)
{
    auto &outcomes = context.state.control.outcomes;
    const auto found = outcomes.find(outcome);
    if (found == outcomes.end()) {
        return;
    }
    if (reply.outcome == PlatformOutcome::Applied) {
        outcomes.erase(found);
        return;
    }
    if (reply.outcome == PlatformOutcome::Unknown) {
        // The write is conditional on the version, so a retry after a write that took effect changes nothing.
        scheduleRetry(context, outcome, found->second, reply.detail);
        return;
    }
    PlatformRequest request;
    request.object = found->second.object;
    callPlatform(context, PlatformPurpose::ReadOutcome, std::move(request), outcome);
}

void handleOutcomeRead(ReduceContext &context, std::uint64_t outcome, const PlatformReply &reply)
{
    auto &outcomes = context.state.control.outcomes;
    const auto found = outcomes.find(outcome);
    if (found == outcomes.end()) {
        return;
    }
    PendingOutcome &pending = found->second;
    if (reply.outcome == PlatformOutcome::Unknown) {
        scheduleRetry(context, outcome, pending, reply.detail);
        return;
    }
    const auto *record = std::get_if<ClaimRecord>(&reply.value);
    if (record != nullptr && record->token == pending.record.token && !record->finished) {
        pending.version = reply.version;
        scheduleRetry(context, outcome, pending, "the object has version " + std::to_string(reply.version));
        return;
    }
    if (record == nullptr || record->token != pending.record.token) {
        logOutcome(context, LogLevel::Error, pending, "the outcome is not recorded: this host no longer holds the claim");
    }
    outcomes.erase(found);
}
}
