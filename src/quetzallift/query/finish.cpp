#include "quetzallift/query/finish.h"

#include "quetzallift/core/reducecontext.h"
#include "quetzallift/query/handlers.h"
#include "quetzallift/query/searcherpool.h"

#include <algorithm>
#include <iterator>

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

// The rows of all covered shards in order, without duplicates, cut to the request's limit.
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

QueryAnswer makeAnswer(RunningQuery &query)
{
    QueryAnswer answer;
    answer.snapshot = query.snapshot;
    answer.generation = query.control->generation;
    answer.coverage = coverageOf(query);
    answer.status = statusOf(query, answer.coverage);
    answer.execution = query.sentAnything ? Execution::Ran : Execution::NotRun;
    listMissing(query, answer);
    if (answer.status == AnswerStatus::Failed) {
        answer.error = "coverage is below the minimum that the caller set";
        answer.errorStep = Step::Gather;
        answer.execution = query.sentAnything ? Execution::MayHaveRun : Execution::NotRun;
    } else {
        mergeRows(query, answer);
    }
    return answer;
}

// Tells the control thread once the last query of a stopping thread is gone.
void reportStopped(ReduceContext &context)
{
    QueryState &state = context.state.query;
    if (state.stopping && state.queries.empty() && !state.stopReported) {
        state.stopReported = true;
        context.emit(ReportStopped{});
    }
}
}

void cancelWaiting(ReduceContext &context, ShardProgress &progress)
{
    QueryState &state = context.state.query;
    for (const AttemptId attempt : progress.waiting) {
        const auto found = state.attempts.find(attempt);
        const Attempt cancelled = std::move(found->second);
        state.attempts.erase(found);
        noteCancelled(context, cancelled);
        context.emit(CancelSubRequest{attempt});
    }
    progress.waiting.clear();
}

void finishQuery(ReduceContext &context, RunningQuery &query)
{
    QueryAnswer answer = makeAnswer(query);
    context.emit(CountMetric{Metric::Answers, toString(answer.status)});
    if (!query.claimObject.empty()) {
        context.emit(RecordOutcome{query.claimObject, answer});
    }
    context.emit(SendAnswer{query.id, std::move(answer)});
    dropQuery(context, query);
}

void dropQuery(ReduceContext &context, RunningQuery &query)
{
    for (ShardProgress &shard : query.shards) {
        cancelWaiting(context, shard);
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
