#include "quetzallift/core/reducecontext.h"
#include "quetzallift/query/admit.h"
#include "quetzallift/query/claim.h"
#include "quetzallift/query/finish.h"
#include "quetzallift/query/gather.h"
#include "quetzallift/query/handlers.h"
#include "quetzallift/query/plan.h"
#include "quetzallift/query/scatter.h"

#include <algorithm>

namespace Quetzallift
{
namespace
{
RunningQuery makeQuery(const ReduceContext &context, const QueryArrived &event)
{
    RunningQuery query;
    query.id = event.query;
    query.request = event.request;
    query.arrivedAt = context.now;
    query.deadline = context.now + event.request.deadline;
    query.control = context.state.query.control;
    query.backEnd = query.control->bundle->backEnd(event.request.backEnd);
    return query;
}

// A latency-first back end answers at its latency target with what it has; a coverage-first one waits for the deadline.
void startTimers(ReduceContext &context, const RunningQuery &query)
{
    context.emit(StartTimer{{TimerKind::QueryDeadline, query.id.value}, query.deadline});
    const BackEndPolicy &policy = query.backEnd->policy;
    const TimePoint target = query.arrivedAt + policy.latencyTarget;
    if (policy.preference == DeadlinePreference::Latency && target < query.deadline) {
        context.emit(StartTimer{{TimerKind::LatencyTarget, query.id.value}, target});
    }
}

bool reachesMinimum(const RunningQuery &query)
{
    std::uint64_t covered = 0;
    for (std::size_t index = 0; index < query.shards.size(); ++index) {
        covered += query.shards[index].covered ? query.layout->shards[index].weight : 0;
    }
    const auto total = static_cast<double>(query.layout->totalWeight());
    return static_cast<double>(covered) >= query.request.minimumCoverage * total;
}
}

void handleQueryArrived(ReduceContext &context, const QueryArrived &event)
{
    context.emit(CountMetric{Metric::Queries, event.request.backEnd});
    if (!admit(context, event)) {
        return;
    }
    RunningQuery query = makeQuery(context, event);
    if (!plan(context.state.query, query)) {
        refuse(context, event.query, Step::Plan, "back end '" + event.request.backEnd + "' has no layout");
        return;
    }
    RunningQuery &running = context.state.query.queries.emplace(query.id, std::move(query)).first->second;
    startTimers(context, running);
    if (!running.request.repeatable) {
        requestClaim(context, running);
        return;
    }
    scatter(context, running);
    answerIfComplete(context, running);
}

void handleQueryAbandoned(ReduceContext &context, const QueryAbandoned &event)
{
    const auto found = context.state.query.queries.find(event.query);
    if (found != context.state.query.queries.end() && found->second.request.repeatable) {
        dropQuery(context, found->second);
    }
}

void handleControlSnapshot(ReduceContext &context, const ControlSnapshotPublished &event)
{
    context.state.query.control = event.snapshot;
    if (!context.state.query.service.reporting) {
        reportService(context);
    }
}

void handleQueryTimer(ReduceContext &context, const TimerKey &timer)
{
    const auto found = context.state.query.queries.find(QueryId{timer.subject});
    if (found == context.state.query.queries.end()) {
        return;
    }
    if (timer.kind == TimerKind::LatencyTarget && !reachesMinimum(found->second)) {
        return;
    }
    finishQuery(context, found->second);
}
}
