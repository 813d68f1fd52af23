#include "quetzallift/query/gather.h"

#include "quetzallift/core/reducecontext.h"
#include "quetzallift/query/finish.h"
#include "quetzallift/query/handlers.h"
#include "quetzallift/query/retry.h"
#include "quetzallift/query/searcherpool.h"
#include "quetzallift/query/straggler.h"

#include <utility>

namespace Quetzallift
{
namespace
{
// Removes an attempt from the outstanding ones and returns it.
Attempt removeAttempt(QueryState &state, std::unordered_map<AttemptId, Attempt>::iterator found)
{
    Attempt attempt = std::move(found->second);
    RunningQuery &query = state.queries.at(attempt.query);
    query.shards[attempt.shardIndex].waiting.erase(found->first);
    --query.attemptsWaiting;
    state.attempts.erase(found);
    return attempt;
}

// The metric label for a reply that does not match the attempt on whose connection it arrived; null if it matches.
const char *mismatchOf(const RunningQuery &query, const Attempt &attempt, const SubReplyArrived &event)
{
    const SubReply &reply = event.reply;
    if (reply.attempt != event.attempt || reply.requestId != query.request.requestId || reply.shard != query.layout->shards[attempt.shardIndex].id) {
        return "crossed";
    }
    return reply.snapshot == query.snapshot ? nullptr : "wrong_snapshot";
}

// The metric label for a reply without an outstanding attempt.
const char *unmatchedCause(const QueryState &state, AttemptId attempt)
{
    if (attempt.value == 0 || attempt.value > state.lastAttempt) {
        return "foreign";
    }
    return state.endedAttempts.hadReply(attempt) ? "doubled" : "late";
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

// Records the observations from a reply that matches its attempt.
void recordMatchedReply(ReduceContext &context, const Attempt &attempt, const SubReplyArrived &event)
{
    QueryState &state = context.state.query;
    recordReply(context, attempt, event.reply);
    ReplicaRecord &record = state.replicaRecords[attempt.searcher];
    if (record.recordSnapshots(event.attempt, event.reply)) {
        ++state.recordsVersion;
    }
    if (event.reply.status == SubReplyStatus::Ok) {
        const Duration latency = context.now - attempt.plannedAt;
        record.recordLatency(latency);
        state.backEnds[state.queries.at(attempt.query).request.backEnd].latency.add(latency);
    }
}

void markCovered(ReduceContext &context, RunningQuery &query, std::size_t shardIndex, std::vector<Row> rows)
{
    ShardProgress &progress = query.shards[shardIndex];
    progress.covered = true;
    progress.rows = std::move(rows);
    ++query.shardsCovered;
    cancelWaiting(context, query, progress);
}

// Gathers a reply that matches its attempt.
void gather(ReduceContext &context, RunningQuery &query, const Attempt &attempt, const SubReply &reply)
{
    if (reply.status == SubReplyStatus::SnapshotGone && restartOnOtherSnapshot(context, query)) {
        return;
    }
    if (reply.status != SubReplyStatus::Ok) {
        retryShard(context, query, attempt.shardIndex, Failure{Step::Wait, attempt.searcher, failureOf(reply.status), {}}, true);
    } else if (reply.truncated) {
        query.shards[attempt.shardIndex].rows = reply.rows;
        retryShard(context, query, attempt.shardIndex, Failure{Step::Gather, attempt.searcher, FailureKind::Truncated, "the reply is truncated"}, true);
    } else {
        markCovered(context, query, attempt.shardIndex, reply.rows);
    }
}
}

bool hasMinimumCoverage(const RunningQuery &query)
{
    std::uint64_t covered = 0;
    for (std::size_t index = 0; index < query.shards.size(); ++index) {
        covered += query.shards[index].covered ? query.layout->shards[index].weight : 0;
    }
    const auto total = static_cast<double>(query.layout->totalWeight());
    return static_cast<double>(covered) >= query.request.minimumCoverage * total;
}

void answerIfComplete(ReduceContext &context, RunningQuery &query)
{
    const bool complete = query.shardsCovered == query.shards.size();
    const bool exhausted = query.attemptsWaiting == 0 && !willRetryLater(context, query);
    if (complete || exhausted || (query.targetPassed && hasMinimumCoverage(query))) {
        finishQuery(context, query);
    }
}

void handleSubReply(ReduceContext &context, const SubReplyArrived &event)
{
    QueryState &state = context.state.query;
    const auto found = state.attempts.find(event.attempt);
    if (found == state.attempts.end()) {
        context.emit(CountMetric{Metric::DroppedReplies, unmatchedCause(state, event.attempt)});
        return;
    }
    const Attempt attempt = removeAttempt(state, found);
    RunningQuery &query = state.queries.at(attempt.query);
    query.mayHaveRun = true;
    state.endedAttempts.recordReplied(event.attempt);
    const char *mismatch = mismatchOf(query, attempt, event);
    if (mismatch != nullptr) {
        recordCancelled(context, attempt);
        context.emit(CountMetric{Metric::DroppedReplies, mismatch});
        retryShard(context,
                   query,
                   attempt.shardIndex,
                   Failure{Step::Gather, attempt.searcher, FailureKind::BadReply, "the reply does not match its sub-request"},
                   true);
    } else {
        recordMatchedReply(context, attempt, event);
        gather(context, query, attempt, event.reply);
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
    const Attempt attempt = removeAttempt(state, found);
    RunningQuery &query = state.queries.at(attempt.query);
    query.mayHaveRun = query.mayHaveRun || event.sent;
    recordFailure(context, attempt, event.failure);
    retryShard(context, query, attempt.shardIndex, event.failure, event.sent);
    answerIfComplete(context, query);
}
}
