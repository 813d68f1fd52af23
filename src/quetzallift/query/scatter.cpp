#include "quetzallift/query/scatter.h"

#include "quetzallift/core/reducecontext.h"
#include "quetzallift/query/searcherpool.h"
#include "quetzallift/query/straggler.h"

namespace Quetzallift
{
void sendToReplica(ReduceContext &context, RunningQuery &query, std::size_t shardIndex, const std::string &replica)
{
    QueryState &state = context.state.query;
    ShardProgress &progress = query.shards[shardIndex];
    const AttemptId id{++state.lastAttempt};
    Attempt &attempt = state.attempts[id];
    attempt.query = query.id;
    attempt.shardIndex = shardIndex;
    attempt.searcher = replica;
    attempt.plannedAt = context.now;
    progress.tried.insert(replica);
    progress.waiting.insert(id);
    ++query.attemptsWaiting;
    startAttempt(context, query, id);
}

void scatter(ReduceContext &context, RunningQuery &query)
{
    for (std::size_t index = 0; index < query.shards.size(); ++index) {
        const std::string *replica = chooseReplica(context, query, index);
        if (replica != nullptr) {
            sendToReplica(context, query, index, *replica);
        } else {
            query.shards[index].lastFailure = Failure{Step::Plan, {}, FailureKind::NotSent, "no replica of the shard accepts new sub-requests"};
        }
    }
    context.emit(CountMetric{Metric::SubRequests, query.request.backEnd, static_cast<double>(query.attemptsWaiting)});
    if (query.restarts == 0) {
        const BackEndPolicy &policy = query.backEnd->policy;
        BackEndView &view = context.state.query.backEnds[query.request.backEnd];
        view.hedges.deposit(policy.hedgeBudget * static_cast<double>(query.attemptsWaiting));
        view.retries.deposit(policy.retryBudget * static_cast<double>(query.attemptsWaiting));
    }
    scheduleStragglerCheck(context, query);
}
}
