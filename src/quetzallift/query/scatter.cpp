#include "quetzallift/query/scatter.h"

#include "quetzallift/core/reducecontext.h"
#include "quetzallift/query/searcherpool.h"

namespace Quetzallift
{
bool sendToUntriedReplica(ReduceContext &context, RunningQuery &query, std::size_t shardIndex)
{
    QueryState &state = context.state.query;
    ShardProgress &progress = query.shards[shardIndex];
    const std::string *replica = chooseReplica(context, query, shardIndex);
    if (replica == nullptr) {
        return false;
    }
    const AttemptId id{++state.lastAttempt};
    state.attempts[id] = Attempt{query.id, shardIndex, *replica, {}};
    progress.tried.insert(*replica);
    progress.waiting.insert(id);
    startAttempt(context, query, id);
    return true;
}

void scatter(ReduceContext &context, RunningQuery &query)
{
    for (std::size_t index = 0; index < query.shards.size(); ++index) {
        if (!sendToUntriedReplica(context, query, index)) {
            query.shards[index].lastFailure = Failure{Step::Plan, {}, FailureKind::NotSent, "no replica may get new work"};
        }
    }
    context.emit(CountMetric{Metric::SubRequests, query.request.backEnd, static_cast<double>(query.shards.size())});
}
}
