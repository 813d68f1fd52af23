#include "quetzallift/query/servicecounting.h"

#include "quetzallift/core/reducecontext.h"

namespace Quetzallift
{
namespace
{
constexpr Duration ReportPeriod = std::chrono::seconds(5);

// The objective of a caller at a back end: that of the caller, else that for all callers, else the defaults.
Objective objectiveFor(const QueryState &state, const ServiceKey &key)
{
    Objective objective;
    if (!state.control || !state.control->bundle) {
        return objective;
    }
    for (const Objective &candidate : state.control->bundle->objectives) {
        const bool applies = candidate.backEnd == key.backEnd && (candidate.caller.empty() || candidate.caller == key.caller);
        if (applies && (objective.backEnd.empty() || !candidate.caller.empty())) {
            objective = candidate;
        }
    }
    return objective;
}

void countMissing(ServiceCounts &counts, const QueryAnswer &answer)
{
    ServiceCounts missing;
    for (const MissingShard &shard : answer.missing) {
        ++missing.missingByShard[shard.shard.value];
        if (!shard.failure.peer.empty()) {
            ++missing.missingBySearcher[shard.failure.peer];
        }
    }
    counts.add(missing);
}

void countAnswer(ReduceContext &context, const ServiceEntry &entry, const QueryAnswer &answer)
{
    QueryState &state = context.state.query;
    const Objective objective = objectiveFor(state, entry.key);
    ServiceCounts &counts = state.service.table[entry.key];
    ++counts.answers;
    if (answer.status == AnswerStatus::Refused) {
        ++counts.refused;
        return;
    }
    counts.slow += context.now - entry.arrivedAt > objective.latency ? 1 : 0;
    counts.uncovered += answer.coverage.ratio() < objective.coverage ? 1 : 0;
    countMissing(counts, answer);
}

void countSubRequests(ServiceTable &table, const CountMetric &count)
{
    const auto amount = static_cast<std::uint64_t>(count.amount);
    if (count.metric == Metric::SubRequests) {
        table[{count.label, {}}].subRequests += amount;
    } else if (count.metric == Metric::Hedges || count.metric == Metric::Retries) {
        table[{count.label, {}}].extraSubRequests += amount;
    }
}
}

void trackQuery(ReduceContext &context, const QueryArrived &event)
{
    // Names that are not in the bundle would make the table grow without bound.
    const ControlSnapshotPtr &control = context.state.query.control;
    const bool known =
        control && control->bundle && control->bundle->backEnd(event.request.backEnd) != nullptr && control->bundle->caller(event.request.caller) != nullptr;
    const ServiceKey key = known ? ServiceKey{event.request.backEnd, event.request.caller} : ServiceKey{};
    context.state.query.service.open[event.query] = {key, context.now};
}

void countService(ReduceContext &context)
{
    ServiceState &service = context.state.query.service;
    for (const Effect &effect : context.effects) {
        if (const auto *count = std::get_if<CountMetric>(&effect)) {
            countSubRequests(service.table, *count);
        } else if (const auto *send = std::get_if<SendAnswer>(&effect)) {
            const auto found = service.open.find(send->query);
            if (found != service.open.end()) {
                countAnswer(context, found->second, send->answer);
                service.open.erase(found);
            }
        } else if (const auto *recorded = std::get_if<SendRecordedAnswer>(&effect)) {
            service.open.erase(recorded->query);
        }
    }
}

void reportService(ReduceContext &context)
{
    ServiceState &service = context.state.query.service;
    service.reporting = true;
    if (!service.table.empty()) {
        context.emit(ReportService{std::move(service.table)});
        service.table.clear();
    }
    context.emit(StartTimer{{TimerKind::ServiceReport, 0}, context.now + ReportPeriod});
}
}
