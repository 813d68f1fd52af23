#include "quetzallift/query/ejection.h"

#include "quetzallift/core/reducecontext.h"
#include "quetzallift/query/observe.h"
#include "quetzallift/query/searcherqueue.h"

#include <algorithm>

namespace Quetzallift
{
namespace
{
// A searcher that fails half of its sub-requests costs more retries than its capacity is worth.
constexpr double ErrorLimit = 0.5;
constexpr unsigned MinimumSamples = 5;
// Consecutive failures show an unreachable searcher sooner than the error rate does.
constexpr unsigned ConsecutiveFailuresLimit = 3;
// Latency is an outlier above this multiple of the mean of the data centre, and never below the floor. The comparison is
// within a data centre, so that no searcher is ejected if the whole data centre is slow.
constexpr double LatencyRatio = 4.0;
constexpr Seconds LatencyFloor{0.02};
// With a larger window the latency may come from queueing caused by this host; the window then shrinks first.
constexpr double MaximumOutlierWindow = 2.0;
constexpr Duration InitialEjectionTime = std::chrono::seconds(1);
// The ejection time doubles with each ejection up to 32 s.
constexpr unsigned MaximumDoublings = 5;
// At most a third of a back end's searchers is ejected, so that a fault of all searchers ejects only a minority.
constexpr std::size_t EjectionLimitDivisor = 3;

const char *outlierCause(const QueryState &state, const SearcherView &view, TimePoint now)
{
    // A previously ejected searcher that fails before its first reply has not recovered.
    const unsigned failuresAllowed = view.ejections > 0 && view.latency.samples == 0 ? 1 : ConsecutiveFailuresLimit;
    if (view.consecutiveFailures >= failuresAllowed) {
        return "errors";
    }
    if (view.errors.samples >= MinimumSamples && view.errors.valueAt(now, 0.0) > ErrorLimit) {
        return "errors";
    }
    const auto mean = state.dataCentres.find(view.dataCentre);
    if (view.window.size > MaximumOutlierWindow || view.latency.samples < AgedMean<Seconds>::WarmUpSamples || mean == state.dataCentres.end()) {
        return nullptr;
    }
    const Seconds limit = std::max(LatencyFloor, mean->second.valueAt(now, {}) * LatencyRatio);
    return view.latency.value > limit ? "latency" : nullptr;
}

std::size_t searcherCount(const QueryState &state, const std::string &backEnd)
{
    const BackEnd *found = state.control && state.control->bundle ? state.control->bundle->backEnd(backEnd) : nullptr;
    return found == nullptr ? 0 : found->searchers.size();
}

// Schedules the health probe that may end the ejection, after a time that doubles with each ejection or extension.
void scheduleEjectionEnd(ReduceContext &context, SearcherView &view)
{
    view.ejectedUntil = context.now + InitialEjectionTime * (1U << std::min(view.ejections, MaximumDoublings));
    ++view.ejections;
    context.emit(StartTimer{{TimerKind::SearcherProbe, view.number}, view.ejectedUntil});
}
}

void ejectIfOutlier(ReduceContext &context, SearcherView &view)
{
    QueryState &state = context.state.query;
    const char *cause = view.ejected || view.draining ? nullptr : outlierCause(state, view, context.now);
    auto &ejected = state.ejected[view.backEnd];
    if (cause == nullptr || ejected.size() >= searcherCount(state, view.backEnd) / EjectionLimitDivisor) {
        return;
    }
    view.ejected = true;
    ejected.insert(view.address);
    scheduleEjectionEnd(context, view);
    if (!view.queue.empty()) {
        wakeQueue(context, view, context.now);
    }
    context.emit(CountMetric{Metric::Ejections, cause});
    context.emit(WriteLog{{LogLevel::Warning, Step::Wait, view.address, {}, std::string("searcher ejected for its ") + cause}});
}

void extendEjection(ReduceContext &context, SearcherView &view)
{
    scheduleEjectionEnd(context, view);
}

void endEjection(ReduceContext &context, SearcherView &view)
{
    view.ejected = false;
    context.state.query.ejected[view.backEnd].erase(view.address);
    startCold(context, view);
}

void resetEjections(SearcherView &view, TimePoint now)
{
    // A searcher that was in service for longer than the longest ejection time starts again with the shortest one.
    if (view.ejections > 0 && !view.ejected && now > view.ejectedUntil + InitialEjectionTime * (1U << MaximumDoublings)) {
        view.ejections = 0;
    }
}
}
