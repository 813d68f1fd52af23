#include "quetzallift/query/retry.h"

#include "quetzallift/core/reducecontext.h"
#include "quetzallift/query/finish.h"
#include "quetzallift/query/plan.h"
#include "quetzallift/query/scatter.h"
#include "quetzallift/query/searcherpool.h"
#include "quetzallift/query/straggler.h"

namespace Quetzallift
{
namespace
{
// One restart covers a snapshot that is no longer served, and one a wrong choice of the first snapshot without replica
// records. More restarts mean that snapshots change faster than queries run; further ones would only add load.
constexpr unsigned MaximumRestarts = 3;

// Switches a query to the newest control snapshot, so that layouts announced since its admission can be used.
void applyNewestControl(const QueryState &state, RunningQuery &query)
{
    const BackEnd *backEnd = state.control ? state.control->bundle->backEnd(query.request.backEnd) : nullptr;
    if (backEnd != nullptr && !backEnd->layouts.empty()) {
        query.control = state.control;
        query.backEnd = backEnd;
    }
}
}

void retryShard(ReduceContext &context, RunningQuery &query, std::size_t shardIndex, Failure failure, bool sent)
{
    context.emit(CountMetric{Metric::SubRequestFailures, toString(failure.kind)});
    ShardProgress &progress = query.shards[shardIndex];
    // The rows of a truncated reply are kept, so a later failure must not hide the truncation.
    if (!progress.lastFailure || progress.lastFailure->kind != FailureKind::Truncated) {
        progress.lastFailure = std::move(failure);
    }
    if (!query.request.repeatable || query.probe || progress.covered || !progress.waiting.empty()) {
        return;
    }
    const std::string *replica = chooseReplica(context, query, shardIndex);
    if (replica != nullptr && context.now < query.subRequestsUntil) {
        if (sent && !context.state.query.backEnds[query.request.backEnd].retries.take()) {
            progress.lastFailure->detail += progress.lastFailure->detail.empty() ? "the retry budget is exhausted" : "; the retry budget is exhausted";
        } else {
            context.emit(CountMetric{Metric::Retries, query.request.backEnd});
            sendToReplica(context, query, shardIndex, *replica);
        }
    }
    scheduleStragglerCheck(context, query);
}

bool restartOnOtherSnapshot(ReduceContext &context, RunningQuery &query)
{
    if (!query.request.repeatable || query.probe || query.restarts >= MaximumRestarts || context.now >= query.subRequestsUntil) {
        return false;
    }
    RunningQuery next = query;
    applyNewestControl(context.state.query, next);
    if (!plan(context.state.query, next) || next.snapshot == query.snapshot) {
        return false;
    }
    for (ShardProgress &shard : query.shards) {
        cancelWaiting(context, query, shard);
    }
    next.attemptsWaiting = 0;
    next.mayHaveRun = query.mayHaveRun;
    ++next.restarts;
    next.retryAt.reset();
    query = std::move(next);
    context.emit(CountMetric{Metric::Restarts, query.request.backEnd});
    scatter(context, query);
    return true;
}
}
