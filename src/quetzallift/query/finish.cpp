#include "quetzallift/query/finish.h"

#include "quetzallift/core/reducecontext.h"
#include "quetzallift/query/admit.h"
#include "quetzallift/query/handlers.h"
#include "quetzallift/query/searcherpool.h"

#include <algorithm>
#include <iterator>
#include <string>

namespace Quetzallift
{
namespace
{
Coverage coverageOf(const RunningQuery &query)
{
    Coverage coverage;
    coverage.shardsTotal = query.shards.size();
    coverage.weightTotal = query.layout->totalWeight();
    for (std::size_t index = 0; index < query.shards.size(); ++index) {
        if (query.shards[index].covered) {
            ++coverage.shardsCovered;
            coverage.weightCovered += query.layout->shards[index].weight;
        }
    }
    return coverage;
}

// Merges the rows of all shards, including truncated replies: sorted, without duplicates, and up to the request's limit.
void mergeRows(RunningQuery &query, QueryAnswer &answer)
{
    for (ShardProgress &shard : query.shards) {
        std::move(shard.rows.begin(), shard.rows.end(), std::back_inserter(answer.rows));
    }
    std::sort(answer.rows.begin(), answer.rows.end());
    answer.rows.erase(std::unique(answer.rows.begin(), answer.rows.end()), answer.rows.end());
    if (answer.rows.size() > query.request.limit) {
        answer.rows.resize(query.request.limit);
        answer.rowsLimited = true;
    }
}

void listMissing(const RunningQuery &query, QueryAnswer &answer)
{
    for (std::size_t index = 0; index < query.shards.size(); ++index) {
        const ShardProgress &shard = query.shards[index];
        if (shard.covered) {
            continue;
        }
        const Failure noReply{Step::Wait, {}, FailureKind::Timeout, "no reply before the deadline"};
        answer.missing.push_back({query.layout->shards[index].id, shard.lastFailure.value_or(noReply)});
    }
}

AnswerStatus statusOf(const RunningQuery &query, const Coverage &coverage)
{
    if (coverage.shardsCovered == coverage.shardsTotal) {
        return AnswerStatus::Whole;
    }
    return coverage.ratio() >= query.request.minimumCoverage ? AnswerStatus::Partial : AnswerStatus::Failed;
}

// Returns NotRun only if no attempt can have reached a searcher.
Execution executionOf(const RunningQuery &query, const QueryAnswer &answer)
{
    if (answer.status != AnswerStatus::Failed && answer.coverage.shardsCovered > 0) {
        return Execution::Ran;
    }
    const bool mayHaveRun = query.mayHaveRun || (query.sentAnything && query.attemptsWaiting > 0);
    return mayHaveRun ? Execution::MayHaveRun : Execution::NotRun;
}

// Logs an answer that does not cover every shard, so that its cause can be found by the caller's request id.
void logMissing(ReduceContext &context, const RunningQuery &query, const QueryAnswer &answer)
{
    if (answer.missing.empty()) {
        return;
    }
    const MissingShard &first = answer.missing.front();
    const std::string message = std::string(toString(answer.status)) + " answer of " + query.request.backEnd + " under generation "
                                + std::to_string(answer.generation.value) + ": " + std::to_string(answer.missing.size()) + " of "
                                + std::to_string(answer.coverage.shardsTotal) + " shards missing, first shard " + std::to_string(first.shard.value) + ": "
                                + toString(first.failure.kind);
    context.emit(WriteLog{{LogLevel::Warning, first.failure.step, first.failure.peer, query.request.requestId, message}});
}

QueryAnswer makeAnswer(RunningQuery &query)
{
    QueryAnswer answer;
    answer.snapshot = query.snapshot;
    answer.generation = query.control->generation;
    answer.coverage = coverageOf(query);
    answer.status = statusOf(query, answer.coverage);
    answer.execution = executionOf(query, answer);
    listMissing(query, answer);
    if (answer.status == AnswerStatus::Failed) {
        answer.error = "coverage is below the caller's minimum: " + std::to_string(answer.coverage.shardsCovered) + " of "
                       + std::to_string(answer.coverage.shardsTotal) + " shards covered";
        answer.errorStep = Step::Gather;
    } else {
        mergeRows(query, answer);
    }
    return answer;
}

// Records the elapsed time of an attempt that lost to another replica as a lower bound of its latency. The back end's
// estimate takes it only beyond the tail: a shorter wait does not show whether the reply would have come before or after
// the tail. The replica's record takes it only if it is longer than the usual latency.
void recordWait(ReduceContext &context, const RunningQuery &query, const Attempt &attempt)
{
    const Duration waited = context.now - attempt.plannedAt;
    LatencyEstimate &latency = context.state.query.backEnds[query.request.backEnd].latency;
    if (waited >= latency.tail().value_or(Duration::max())) {
        latency.add(waited);
    }
    ReplicaRecord &record = context.state.query.replicaRecords[attempt.searcher];
    if (record.usualLatency && *record.usualLatency < waited) {
        record.recordLatency(waited);
    }
}
}

void reportStopped(ReduceContext &context)
{
    QueryState &state = context.state.query;
    if (state.stopping && state.queries.empty() && state.requestedClaims.empty() && context.state.routing.requests.empty() && !state.stopReported) {
        state.stopReported = true;
        context.emit(ReportStopped{});
    }
}

void cancelWaiting(ReduceContext &context, RunningQuery &query, ShardProgress &progress)
{
    QueryState &state = context.state.query;
    for (const AttemptId attempt : progress.waiting) {
        const auto found = state.attempts.find(attempt);
        const Attempt cancelled = std::move(found->second);
        state.attempts.erase(found);
        if (progress.covered) {
            recordWait(context, query, cancelled);
        }
        recordCancelled(context, cancelled);
        context.emit(CancelSubRequest{attempt});
        --query.attemptsWaiting;
        // This attempt may still be queued, so the query may have run only if any of its sub-requests was sent.
        query.mayHaveRun = query.mayHaveRun || query.sentAnything;
    }
    progress.waiting.clear();
}

void finishQuery(ReduceContext &context, RunningQuery &query)
{
    if (query.probe) {
        dropQuery(context, query);
        return;
    }
    QueryAnswer answer = makeAnswer(query);
    context.emit(CountMetric{Metric::Answers, toString(answer.status)});
    logMissing(context, query, answer);
    if (!query.claimObject.empty()) {
        context.emit(RecordOutcome{query.claimObject, answer});
    }
    context.emit(SendAnswer{query.id, std::move(answer)});
    dropQuery(context, query);
}

void dropQuery(ReduceContext &context, RunningQuery &query)
{
    for (ShardProgress &shard : query.shards) {
        cancelWaiting(context, query, shard);
    }
    // A probe was not admitted, and its time says nothing about callers' queries.
    if (!query.probe) {
        recordQueryEnded(context, query);
    }
    context.state.query.queries.erase(query.id);
    reportStopped(context);
}

void cutOffQueries(ReduceContext &context)
{
    QueryState &state = context.state.query;
    state.stopping = true;
    state.stopReported = true;
    context.emit(ReportStopped{static_cast<unsigned>(state.queries.size())});
}

void stopQueries(ReduceContext &context)
{
    context.state.query.stopping = true;
    reportStopped(context);
}
}
