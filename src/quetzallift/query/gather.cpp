#include "quetzallift/query/gather.h"

#include "quetzallift/core/reducecontext.h"
#include "quetzallift/query/finish.h"
#include "quetzallift/query/handlers.h"
#include "quetzallift/query/scatter.h"
#include "quetzallift/query/searcherpool.h"

#include <algorithm>

namespace Quetzallift
{
namespace
{
// Takes an attempt out of the waiting ones.
Attempt takeAttempt(QueryState &state, std::unordered_map<AttemptId, Attempt>::iterator found)
{
    Attempt attempt = std::move(found->second);
    state.attempts.erase(found);
    return attempt;
}

// True if the reply belongs to the attempt: same request, attempt, shard and snapshot.
bool matches(const RunningQuery &query, const Attempt &attempt, const SubReplyArrived &event)
{
    const SubReply &reply = event.reply;
    return reply.attempt == event.attempt && reply.requestId == query.request.requestId && reply.shard == query.layout->shards[attempt.shardIndex].id
           && reply.snapshot == query.snapshot;
}

FailureKind failureOf(SubReplyStatus status)
{
    switch (status) {
    case SubReplyStatus::Shed:
        return FailureKind::Shed;
    case SubReplyStatus::Draining:
        return FailureKind::Draining;
    case SubReplyStatus::SnapshotGone:
        return FailureKind::SnapshotGone;
    case SubReplyStatus::ShardNotHeld:
        return FailureKind::ShardNotHeld;
    case SubReplyStatus::Ok:
        break;
    }
    return FailureKind::BadReply;
}

void retryOrGiveUp(ReduceContext &context, RunningQuery &query, std::size_t shardIndex, Failure failure)
{
    context.emit(CountMetric{Metric::SubRequestFailures, toString(failure.kind)});
    ShardProgress &progress = query.shards[shardIndex];
    progress.lastFailure = std::move(failure);
    if (query.request.repeatable && !progress.covered && sendToUntriedReplica(context, query, shardIndex)) {
        context.emit(CountMetric{Metric::Retries, query.request.backEnd});
    }
}

void cover(ReduceContext &context, RunningQuery &query, std::size_t shardIndex, const SubReply &reply)
{
    ShardProgress &progress = query.shards[shardIndex];
    progress.covered = true;
    progress.rows = reply.rows;
    ++query.shardsCovered;
    cancelWaiting(context, progress);
}
}

void answerIfComplete(ReduceContext &context, RunningQuery &query)
{
    const bool waiting = std::any_of(query.shards.begin(), query.shards.end(), [](const ShardProgress &shard) {
        return !shard.waiting.empty();
    });
    if (!waiting) {
        finishQuery(context, query);
    }
}

void handleSubReply(ReduceContext &context, const SubReplyArrived &event)
{
    QueryState &state = context.state.query;
    const auto found = state.attempts.find(event.attempt);
    if (found == state.attempts.end()) {
        context.emit(CountMetric{Metric::DroppedReplies, "late"});
        return;
    }
    const Attempt attempt = takeAttempt(state, found);
    RunningQuery &query = state.queries.at(attempt.query);
    query.shards[attempt.shardIndex].waiting.erase(event.attempt);
    noteReply(context, attempt, event.reply);
    if (!matches(query, attempt, event)) {
        context.emit(CountMetric{Metric::DroppedReplies, "foreign"});
        retryOrGiveUp(context, query, attempt.shardIndex, Failure{Step::Gather, attempt.searcher, FailureKind::BadReply, "the reply has another identity"});
    } else if (event.reply.status != SubReplyStatus::Ok) {
        retryOrGiveUp(context, query, attempt.shardIndex, Failure{Step::Wait, attempt.searcher, failureOf(event.reply.status), {}});
    } else if (event.reply.truncated) {
        retryOrGiveUp(context, query, attempt.shardIndex, Failure{Step::Gather, attempt.searcher, FailureKind::Truncated, "the reply is truncated"});
    } else {
        cover(context, query, attempt.shardIndex, event.reply);
    }
    answerIfComplete(context, query);
}

void handleSubRequestFailed(ReduceContext &context, const SubRequestFailed &event)
{
    QueryState &state = context.state.query;
    const auto found = state.attempts.find(event.attempt);
    if (found == state.attempts.end()) {
        return;
    }
    const Attempt attempt = takeAttempt(state, found);
    RunningQuery &query = state.queries.at(attempt.query);
    query.shards[attempt.shardIndex].waiting.erase(event.attempt);
    noteFailure(context, attempt, event.failure);
    retryOrGiveUp(context, query, attempt.shardIndex, event.failure);
    answerIfComplete(context, query);
}
}
