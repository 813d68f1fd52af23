#include "quetzallift/core/reducecontext.h"
#include "quetzallift/query/admit.h"
#include "quetzallift/query/claim.h"
#include "quetzallift/query/deadlines.h"
#include "quetzallift/query/draining.h"
#include "quetzallift/query/finish.h"
#include "quetzallift/query/gather.h"
#include "quetzallift/query/handlers.h"
#include "quetzallift/query/plan.h"
#include "quetzallift/query/probe.h"
#include "quetzallift/query/scatter.h"
#include "quetzallift/query/sharesapplied.h"
#include "quetzallift/query/straggler.h"

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
    query.answerAt = answerInstant(context.now, event.request.deadline);
    query.subRequestsUntil = subRequestInstant(context.now, query.answerAt);
    query.control = context.state.query.control;
    query.backEnd = query.control->bundle->backEnd(event.request.backEnd);
    return query;
}

// A latency-first back end answers at its latency target with the shards covered so far; a coverage-first one waits for
// the deadline, as does a non-repeatable request, whose recorded answer can never be completed.
void startTimers(ReduceContext &context, const RunningQuery &query)
{
    context.emit(StartTimer{{TimerKind::QueryDeadline, query.id.value}, query.answerAt});
    const BackEndPolicy &policy = query.backEnd->policy;
    const TimePoint target = answerInstant(query.arrivedAt, policy.latencyTarget);
    if (policy.preference == DeadlinePreference::Latency && query.request.repeatable && target < query.answerAt) {
        context.emit(StartTimer{{TimerKind::LatencyTarget, query.id.value}, target});
    }
}

// Answers with the replies gathered so far. If the claim is still pending, no sub-request was sent, and a claim granted
// later is not used.
void finishAtDeadline(ReduceContext &context, RunningQuery &query)
{
    if (query.claimPending) {
        refuse(context, query.id, Step::Claim, "the claim was not settled before the deadline; nothing was sent");
        dropQuery(context, query);
        return;
    }
    finishQuery(context, query);
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
    recordQueryStarted(context, running);
    startTimers(context, running);
    if (!running.request.repeatable) {
        requestClaim(context, running);
        return;
    }
    scatter(context, running);
    probeNewestLayout(context, running);
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
    applyHostList(context, *event.snapshot);
    reportSharesApplied(context);
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
    RunningQuery &query = found->second;
    if (timer.kind == TimerKind::StragglerCheck) {
        checkStragglers(context, query);
    } else if (timer.kind == TimerKind::LatencyTarget) {
        query.targetPassed = true;
        answerIfComplete(context, query);
    } else {
        finishAtDeadline(context, query);
    }
}
}
