#include "quetzallift/query/claim.h"

#include "quetzallift/core/reducecontext.h"
#include "quetzallift/query/admit.h"
#include "quetzallift/query/finish.h"
#include "quetzallift/query/gather.h"
#include "quetzallift/query/handlers.h"
#include "quetzallift/query/scatter.h"

namespace Quetzallift
{
namespace
{
// Everything in a request that determines what it does.
std::string fingerprintOf(const QueryRequest &request)
{
    return request.backEnd + '\n' + request.key + '\n' + request.text;
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
