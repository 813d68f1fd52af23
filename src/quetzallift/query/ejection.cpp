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
constexpr unsigned LeastSamples = 5;
// Failures in a row show a searcher that is cut off sooner than the error rate does.
constexpr unsigned FailuresInARowLimit = 3;
// Latency stands out at this multiple of the data centre's mean, and never below the floor: the comparison is within a
// data centre, so a data centre that is slow as a whole ejects nothing.
constexpr double LatencyRatio = 4.0;
constexpr Seconds LatencyFloor{0.02};
// With a larger window the latency may be a queue that this host made; the window then shrinks first.
constexpr double LargestOutlierWindow = 2.0;
constexpr Duration FirstEjection = std::chrono::seconds(1);
// The ejection time doubles up to 32 s.
constexpr unsigned MaximumDoublings = 5;
// At most this part of a back end's searchers is ejected, so that a fault of everything ejects a minority.
constexpr std::size_t EjectedPart = 3;

const char *outlierCause(const QueryState &state, const SearcherView &view, TimePoint now)
{
    // A searcher that was ejected before and fails before its first reply has not recovered.
    const unsigned failuresAllowed = view.ejections > 0 && view.latency.samples == 0 ? 1 : FailuresInARowLimit;
    if (view.failuresInARow >= failuresAllowed) {
        return "errors";
    }
    if (view.errors.samples >= LeastSamples && view.errors.valueAt(now, 0.0) > ErrorLimit) {
        return "errors";
    }
    const auto mean = state.dataCentres.find(view.dataCentre);
    if (view.window.size > LargestOutlierWindow || view.latency.samples < AgedMean<Seconds>::WarmUpSamples || mean == state.dataCentres.end()) {
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

// Ends the present stretch of the ejection after a time that doubles with each; then the health page is probed.
void lengthen(ReduceContext &context, SearcherView &view)
{
    view.ejectedUntil = context.now + FirstEjection * (1U << std::min(view.ejections, MaximumDoublings));
    ++view.ejections;
    context.emit(StartTimer{{TimerKind::SearcherProbe, view.number}, view.ejectedUntil});
}
}

void ejectIfOutlier(ReduceContext &context, SearcherView &view)
{
    QueryState &state = context.state.query;
    const char *cause = view.ejected || view.draining ? nullptr : outlierCause(state, view, context.now);
    auto &ejected = state.ejected[view.backEnd];
    if (cause == nullptr || ejected.size() >= searcherCount(state, view.backEnd) / EjectedPart) {
        return;
    }
    view.ejected = true;
    ejected.insert(view.address);
    lengthen(context, view);
    if (!view.queue.empty()) {
        wakeQueue(context, view, context.now);
    }
    context.emit(CountMetric{Metric::Ejections, cause});
    context.emit(WriteLog{{LogLevel::Warning, Step::Wait, view.address, {}, std::string("searcher ejected for its ") + cause}});
}

void extendEjection(ReduceContext &context, SearcherView &view)
{
    lengthen(context, view);
}

void endEjection(ReduceContext &context, SearcherView &view)
{
    view.ejected = false;
    context.state.query.ejected[view.backEnd].erase(view.address);
    startCold(context, view);
}

void forgiveEjections(SearcherView &view, TimePoint now)
{
    // A searcher that stays good for as long as the longest ejection starts again with the shortest one.
    if (view.ejections > 0 && !view.ejected && now > view.ejectedUntil + FirstEjection * (1U << MaximumDoublings)) {
        view.ejections = 0;
    }
}
}
