#include "quetzallift/query/searcherpool.h"

#include "quetzallift/core/reducecontext.h"

#include <algorithm>

namespace Quetzallift
{
namespace
{
SubRequest makeSubRequest(const RunningQuery &query, const Shard &shard)
{
    SubRequest request;
    request.requestId = query.request.requestId;
    request.backEnd = query.request.backEnd;
    request.shard = shard.id;
    request.snapshot = query.snapshot;
    request.key = query.request.key;
    request.text = query.request.text;
    request.deadline = query.subRequestsUntil;
    return request;
}

SearcherView &release(ReduceContext &context, const Attempt &attempt)
{
    SearcherView &view = context.state.query.searchers[attempt.searcher];
    view.inFlight -= std::min(view.inFlight, 1U);
    return view;
}
}

const std::string *chooseReplica(ReduceContext &context, const RunningQuery &query, std::size_t shardIndex)
{
    const std::string *best = nullptr;
    unsigned bestInFlight = 0;
    for (const std::string &replica : query.layout->shards[shardIndex].replicas) {
        const SearcherView &view = context.state.query.searchers[replica];
        if (query.shards[shardIndex].tried.contains(replica) || view.draining) {
            continue;
        }
        if (best == nullptr || view.inFlight < bestInFlight) {
            best = &replica;
            bestInFlight = view.inFlight;
        }
    }
    return best;
}

void startAttempt(ReduceContext &context, RunningQuery &query, AttemptId id)
{
    Attempt &attempt = context.state.query.attempts.at(id);
    attempt.sentAt = context.now;
    ++context.state.query.searchers[attempt.searcher].inFlight;
    query.sentAnything = true;
    context.emit(SendSubRequest{id, attempt.searcher, makeSubRequest(query, query.layout->shards[attempt.shardIndex])});
}

void noteReply(ReduceContext &context, const Attempt &attempt, const SubReply &reply)
{
    SearcherView &view = release(context, attempt);
    view.oldestSnapshot = std::max(view.oldestSnapshot, reply.oldestSnapshot);
    view.newestSnapshot = std::max(view.newestSnapshot, reply.newestSnapshot);
    view.draining = reply.leaving || reply.status == SubReplyStatus::Draining;
}

void noteFailure(ReduceContext &context, const Attempt &attempt, const Failure &)
{
    release(context, attempt);
}

void noteCancelled(ReduceContext &context, const Attempt &attempt)
{
    release(context, attempt);
}
}
