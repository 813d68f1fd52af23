#include "quetzallift/control/claims.h"

#include "quetzallift/control/handlers.h"
#include "quetzallift/control/platformcalls.h"
#include "quetzallift/core/reducecontext.h"

namespace Quetzallift
{
namespace
{
void settle(ReduceContext &context, std::uint64_t claim, ClaimResult result, std::string detail, std::string answer = {})
{
    ControlState &state = context.state.control;
    const auto found = state.claims.find(claim);
    const PendingClaim &pending = found->second;
    context.emit(SettleClaim{pending.thread, {pending.query, result, std::move(answer), std::move(detail)}});
    state.claims.erase(found);
}

void grant(ReduceContext &context, std::uint64_t claim, std::uint64_t version)
{
    const PendingClaim &pending = context.state.control.claims.at(claim);
    context.state.control.heldClaims[pending.object] = {version, pending.record};
    settle(context, claim, ClaimResult::Granted, {});
}
}

void handleClaimRequested(ReduceContext &context, const ClaimRequested &event)
{
    ControlState &state = context.state.control;
    const std::uint64_t claim = ++state.lastClaim;
    PendingClaim pending{event.thread, event.query, event.object, {}};
    pending.record.token = state.self.name + "-" + std::to_string(context.state.hooks.random());
    pending.record.host = state.self.name;
    pending.record.fingerprint = event.fingerprint;
    PlatformRequest request{PlatformVerb::Create, event.object, 0, pending.record, event.timeout};
    state.claims.emplace(claim, std::move(pending));
    callPlatform(context, PlatformPurpose::CreateClaim, std::move(request), claim);
}

void handleClaimCreated(ReduceContext &context, std::uint64_t claim, const PlatformReply &reply)
{
    if (reply.outcome == PlatformOutcome::Applied) {
        grant(context, claim, reply.version);
        return;
    }
    PlatformRequest request;
    request.object = context.state.control.claims.at(claim).object;
    callPlatform(context, PlatformPurpose::ReadClaim, std::move(request), claim);
}

void handleClaimRead(ReduceContext &context, std::uint64_t claim, const PlatformReply &reply)
{
    const PendingClaim &pending = context.state.control.claims.at(claim);
    const auto *record = std::get_if<ClaimRecord>(&reply.value);
    if (reply.outcome == PlatformOutcome::Unknown) {
        settle(context, claim, ClaimResult::NotClaimed, "the platform does not answer; nothing was sent");
    } else if (record == nullptr) {
        settle(context, claim, ClaimResult::NotClaimed, "the claim did not take effect");
    } else if (record->token == pending.record.token) {
        grant(context, claim, reply.version);
    } else if (record->fingerprint != pending.record.fingerprint) {
        settle(context, claim, ClaimResult::Mismatch, "the request id was used for another request");
    } else if (record->finished) {
        settle(context, claim, ClaimResult::Finished, {}, record->answer);
    } else {
        settle(context, claim, ClaimResult::InDoubt, "the request was claimed by " + record->host + " and its outcome is not known");
    }
}

void handleOutcomeRecorded(ReduceContext &context, const OutcomeRecorded &event)
{
    ControlState &state = context.state.control;
    const auto held = state.heldClaims.find(event.object);
    if (held == state.heldClaims.end()) {
        return;
    }
    auto [version, record] = held->second;
    state.heldClaims.erase(held);
    record.finished = true;
    record.answer = event.answer;
    PlatformRequest request{PlatformVerb::Update, event.object, version, std::move(record), std::chrono::seconds(1)};
    callPlatform(context, PlatformPurpose::RecordOutcome, std::move(request));
}
}
