#include "quetzallift/query/scatter.h"

#include "quetzallift/core/reducecontext.h"

namespace Quetzallift
{
namespace
{
// The untried replica with the fewest sub-requests in flight from this thread, or null.
const std::string *chooseReplica(QueryState &state, const Shard &shard, const ShardProgress &progress)
{
    const std::string *best = nullptr;
    unsigned bestInFlight = 0;
    for (const std::string &replica : shard.replicas) {
        if (progress.tried.contains(replica) || state.searchers[replica].draining) {
            continue;
        }
        const unsigned inFlight = state.searchers[replica].inFlight;
        if (best == nullptr || inFlight < bestInFlight) {
            best = &replica;
            bestInFlight = inFlight;
        }
    }
    return best;
}

SubRequest makeSubRequest(const RunningQuery &query, const Shard &shard)
{
    SubRequest request;
    request.requestId = query.request.requestId;
    request.backEnd = query.request.backEnd;
    request.shard = shard.id;
    request.snapshot = query.snapshot;
    request.key = query.request.key;
    request.text = query.request.text;
    request.deadline = query.deadline;
    return request;
}
}

bool sendToUntriedReplica(ReduceContext &context, RunningQuery &query, std::size_t shardIndex)
{
    QueryState &state = context.state.query;
    const Shard &shard = query.layout->shards[shardIndex];
    ShardProgress &progress = query.shards[shardIndex];
    const std::string *replica = chooseReplica(state, shard, progress);
    if (replica == nullptr) {
        return false;
    }
    const AttemptId attempt{++state.lastAttempt};
    state.attempts[attempt] = Attempt{query.id, shardIndex, *replica, context.now};
    ++state.searchers[*replica].inFlight;
    progress.tried.insert(*replica);
    progress.waiting.insert(attempt);
    query.sentAnything = true;
    context.emit(SendSubRequest{attempt, *replica, makeSubRequest(query, shard)});
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
