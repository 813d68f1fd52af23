#include "quetzallift/query/claim.h"

#include "quetzallift/core/reducecontext.h"
#include "quetzallift/query/admit.h"
#include "quetzallift/query/finish.h"
#include "quetzallift/query/gather.h"
#include "quetzallift/query/handlers.h"
#include "quetzallift/query/plan.h"
#include "quetzallift/query/scatter.h"

#include <array>
#include <cinttypes>
#include <cstdio>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace Quetzallift
{
namespace
{
// Digest of all fields of a request that determine its effect; the claim object must not contain callers' texts.
std::string fingerprintOf(const QueryRequest &request)
{
    const std::string content = request.backEnd + '\0' + request.key + '\0' + request.text;
    const XXH128_hash_t hash = XXH3_128bits(content.data(), content.size());
    std::array<char, 33> text{};
    std::snprintf(text.data(), text.size(), "%016" PRIx64 "%016" PRIx64, std::uint64_t{hash.high64}, std::uint64_t{hash.low64});
    return text.data();
}

void sendInDoubtAnswer(ReduceContext &context, RunningQuery &query, const std::string &detail)
{
    QueryAnswer answer;
    answer.status = AnswerStatus::Failed;
    answer.execution = Execution::InDoubt;
    answer.generation = query.control->generation;
    answer.error = detail;
    answer.errorStep = Step::Claim;
    context.emit(CountMetric{Metric::Answers, toString(answer.status)});
    context.emit(SendAnswer{query.id, std::move(answer)});
    dropQuery(context, query);
}

void refuseClaim(ReduceContext &context, RunningQuery &query, const std::string &detail)
{
    refuse(context, query.id, Step::Claim, detail);
    dropQuery(context, query);
}

// Records that a claim was granted after its query had been answered, and that nothing was run.
void recordNotRun(ReduceContext &context, const RequestedClaim &claim)
{
    QueryAnswer answer;
    answer.status = AnswerStatus::Failed;
    answer.execution = Execution::NotRun;
    answer.generation = claim.generation;
    answer.error = "the claim was granted after the query had ended; nothing was sent";
    answer.errorStep = Step::Claim;
    context.emit(RecordOutcome{claim.object, std::move(answer)});
}

// Sends the request once. Plans it again first, since the snapshots may have changed while the claim was pending.
void runClaimedQuery(ReduceContext &context, RunningQuery &query, const RequestedClaim &claim)
{
    query.claimObject = claim.object;
    plan(context.state.query, query);
    scatter(context, query);
    answerIfComplete(context, query);
}

void applyClaimResult(ReduceContext &context, RunningQuery &query, const RequestedClaim &claim, const ClaimSettled &event)
{
    switch (event.result) {
    case ClaimResult::Granted:
        runClaimedQuery(context, query, claim);
        break;
    case ClaimResult::Finished:
        context.emit(SendRecordedAnswer{query.id, event.recordedAnswer});
        dropQuery(context, query);
        break;
    case ClaimResult::InDoubt:
        sendInDoubtAnswer(context, query, event.detail);
        break;
    case ClaimResult::Mismatch:
    case ClaimResult::NotClaimed:
        refuseClaim(context, query, event.detail);
        break;
    }
}
}

void requestClaim(ReduceContext &context, RunningQuery &query)
{
    const QueryRequest &request = query.request;
    const std::string object = "claim/" + request.caller + "/" + request.requestId;
    query.claimPending = true;
    context.state.query.requestedClaims[query.id] = {object, query.control->generation};
    context.emit(RequestClaim{query.id, object, fingerprintOf(request), query.subRequestsUntil - context.now});
}

void handleClaimSettled(ReduceContext &context, const ClaimSettled &event)
{
    QueryState &state = context.state.query;
    const auto requested = state.requestedClaims.find(event.query);
    if (requested == state.requestedClaims.end()) {
        return;
    }
    const RequestedClaim claim = std::move(requested->second);
    state.requestedClaims.erase(requested);
    const auto found = state.queries.find(event.query);
    if (found != state.queries.end()) {
        found->second.claimPending = false;
        applyClaimResult(context, found->second, claim, event);
    } else if (event.result == ClaimResult::Granted) {
        recordNotRun(context, claim);
    }
    reportStopped(context);
}
}
