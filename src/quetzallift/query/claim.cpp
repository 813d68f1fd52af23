#include "quetzallift/query/claim.h"

#include "quetzallift/core/reducecontext.h"
#include "quetzallift/query/admit.h"
#include "quetzallift/query/finish.h"
#include "quetzallift/query/gather.h"
#include "quetzallift/query/handlers.h"
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
// Digest of everything in a request that determines what it does; the claim object must not carry callers' texts.
std::string fingerprintOf(const QueryRequest &request)
{
    const std::string content = request.backEnd + '\0' + request.key + '\0' + request.text;
    const XXH128_hash_t hash = XXH3_128bits(content.data(), content.size());
    std::array<char, 33> text{};
    std::snprintf(text.data(), text.size(), "%016" PRIx64 "%016" PRIx64, std::uint64_t{hash.high64}, std::uint64_t{hash.low64});
    return text.data();
}

void answerInDoubt(ReduceContext &context, RunningQuery &query, const std::string &detail)
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
}

void requestClaim(ReduceContext &context, RunningQuery &query)
{
    const QueryRequest &request = query.request;
    const std::string object = "claim/" + request.caller + "/" + request.requestId;
    context.emit(RequestClaim{query.id, object, fingerprintOf(request), query.deadline - context.now});
}

void handleClaimSettled(ReduceContext &context, const ClaimSettled &event)
{
    const auto found = context.state.query.queries.find(event.query);
    if (found == context.state.query.queries.end()) {
        return;
    }
    RunningQuery &query = found->second;
    switch (event.result) {
    case ClaimResult::Granted:
        query.claimObject = "claim/" + query.request.caller + "/" + query.request.requestId;
        scatter(context, query);
        answerIfComplete(context, query);
        break;
    case ClaimResult::Finished:
        context.emit(SendRecordedAnswer{query.id, event.recordedAnswer});
        dropQuery(context, query);
        break;
    case ClaimResult::InDoubt:
        answerInDoubt(context, query, event.detail);
        break;
    case ClaimResult::Mismatch:
    case ClaimResult::NotClaimed:
        refuseClaim(context, query, event.detail);
        break;
    }
}
}
