#include "quetzallift/query/admit.h"

#include "quetzallift/core/reducecontext.h"
#include "quetzallift/query/fairshare.h"
#include "quetzallift/query/queryestimate.h"

#include <algorithm>
#include <cmath>

namespace Quetzallift
{
namespace
{
// Why a query is refused: the label of the counter and the text for the caller. Without a cause the query is admitted.
struct Refusal {
    const char *cause = nullptr;
    std::string reason;
};

Refusal checkConfiguration(const QueryState &state, const QueryRequest &request)
{
    if (state.stopping) {
        return {"stopping", "this entry host is leaving"};
    }
    if (!state.control || !state.control->bundle) {
        return {"no_bundle", "no bundle is in force on this entry host"};
    }
    const Bundle &bundle = *state.control->bundle;
    const CallerPolicy *caller = bundle.caller(request.caller);
    if (caller == nullptr) {
        return {"caller", "caller '" + request.caller + "' is not in the bundle"};
    }
    if (bundle.backEnd(request.backEnd) == nullptr) {
        return {"back_end", "back end '" + request.backEnd + "' is not in the bundle"};
    }
    if (!caller->mayQuery(request.backEnd)) {
        return {"caller", "caller '" + request.caller + "' may not query back end '" + request.backEnd + "'"};
    }
    if (request.deadline > bundle.backEnd(request.backEnd)->policy.maximumDeadline) {
        return {"deadline", "the deadline exceeds the maximum of back end '" + request.backEnd + "'"};
    }
    return {};
}

std::string formatMilliseconds(Duration duration)
{
    return std::to_string(std::chrono::ceil<std::chrono::milliseconds>(duration).count()) + " ms";
}

std::string describeUse(const BackEndLoad &load, unsigned running)
{
    return std::to_string(running) + " of " + std::to_string(std::lround(load.limit)) + " queries running";
}

// Checks the concurrency limit of the back end and the caller's share of it.
Refusal checkLimit(ReduceContext &context, const QueryRequest &request)
{
    QueryState &state = context.state.query;
    BackEndLoad &load = state.loads[request.backEnd];
    recordArrival(load, request.caller, state.control->bundle->caller(request.caller)->share, context.now);
    switch (checkFairShare(load, request.caller, context.now)) {
    case LimitDecision::Admitted:
        return {};
    case LimitDecision::BackEndFull:
        return {"limit", "back end '" + request.backEnd + "' is at its limit: " + describeUse(load, load.running)};
    case LimitDecision::OverShare:
        break;
    }
    return {"share",
            "caller '" + request.caller + "' is over its share of back end '" + request.backEnd
                + "': " + describeUse(load, load.callers[request.caller].running)};
}

// Checks that an answer is expected before the deadline, given the current queues.
Refusal checkDeadline(ReduceContext &context, const QueryRequest &request)
{
    const QueryState &state = context.state.query;
    // The check passes if the back end has no running query: if no query ran, nothing would correct a wrong estimate.
    if (state.loads.at(request.backEnd).running == 0) {
        return {};
    }
    const Duration expected = estimateQuery(context, *state.control->bundle->backEnd(request.backEnd));
    if (context.state.hooks.meetsDeadline(expected, request.deadline)) {
        return {};
    }
    return {"late", "an answer is expected after " + formatMilliseconds(expected) + " but the deadline is " + formatMilliseconds(request.deadline)};
}

Refusal checkAdmission(ReduceContext &context, const QueryRequest &request)
{
    Refusal refusal = checkConfiguration(context.state.query, request);
    if (refusal.cause == nullptr) {
        refusal = checkLimit(context, request);
    }
    if (refusal.cause == nullptr) {
        refusal = checkDeadline(context, request);
    }
    return refusal;
}

// Records the latency of an ended query and adapts the limit. An incomplete query counts only if it took longer than the
// mean.
void recordQueryLatency(ReduceContext &context, const RunningQuery &query, BackEndLoad &load)
{
    const Seconds latency = context.now - query.arrivedAt;
    const bool whole = query.shardsCovered == query.shards.size();
    if (!whole && latency <= load.latency.value) {
        return;
    }
    load.latency.addCapped(latency, context.now);
    load.baseline.add(load.latency, latency, context.now);
    QueryLimitSample sample;
    sample.limit = load.limit;
    sample.running = load.running;
    sample.latency = std::chrono::duration_cast<Duration>(load.latency.value);
    sample.baseline = std::chrono::duration_cast<Duration>(load.baseline.value);
    sample.target = std::min(query.backEnd->policy.latencyTarget, query.request.deadline);
    sample.sinceLowered = context.now - load.limitLoweredAt;
    const double limit = context.state.hooks.queryLimit(sample);
    if (limit < load.limit) {
        load.limitLoweredAt = context.now;
    }
    load.limit = limit;
}
}

void refuse(ReduceContext &context, QueryId query, Step step, const std::string &reason)
{
    QueryAnswer answer;
    answer.status = AnswerStatus::Refused;
    answer.execution = Execution::NotRun;
    answer.error = reason;
    answer.errorStep = step;
    if (context.state.query.control) {
        answer.generation = context.state.query.control->generation;
    }
    context.emit(CountMetric{Metric::Answers, toString(answer.status)});
    context.emit(SendAnswer{query, std::move(answer)});
}

bool admit(ReduceContext &context, const QueryArrived &event)
{
    const Refusal refusal = checkAdmission(context, event.request);
    if (refusal.cause == nullptr) {
        return true;
    }
    context.emit(CountMetric{Metric::Refusals, refusal.cause});
    refuse(context, event.query, Step::Admit, refusal.reason);
    return false;
}

void recordQueryStarted(ReduceContext &context, RunningQuery &query)
{
    query.startTag = startFairQuery(context.state.query.loads[query.request.backEnd], query.request.caller);
}

void recordQueryEnded(ReduceContext &context, const RunningQuery &query)
{
    BackEndLoad &load = context.state.query.loads[query.request.backEnd];
    recordQueryLatency(context, query, load);
    endFairQuery(load, query.request.caller, query.startTag);
}
}
