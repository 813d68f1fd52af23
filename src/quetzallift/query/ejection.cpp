#include "quetzallift/query/ejection.h"

#include "quetzallift/core/reducecontext.h"
#include "quetzallift/query/observe.h"

#include <algorithm>

namespace Quetzallift
{
namespace
{
// A searcher that fails half of its sub-requests costs more retries than its capacity is worth.
constexpr double ErrorLimit = 0.5;
constexpr unsigned LeastSamples = 5;
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
}

void ejectIfOutlier(ReduceContext &context, SearcherView &view)
{
    QueryState &state = context.state.query;
    const char *cause = isEjected(view, context.now) ? nullptr : outlierCause(state, view, context.now);
    if (cause == nullptr) {
        return;
    }
    auto &ejected = state.ejected[view.backEnd];
    std::erase_if(ejected, [&context](const auto &entry) {
        return entry.second <= context.now;
    });
    if (ejected.size() >= searcherCount(state, view.backEnd) / EjectedPart) {
        return;
    }
    view.ejectedUntil = context.now + FirstEjection * (1U << std::min(view.ejections, MaximumDoublings));
    ++view.ejections;
    ejected[view.address] = view.ejectedUntil;
    // After the ejection one sub-request at a time shows whether the searcher has recovered.
    startCold(context, view);
    context.emit(CountMetric{Metric::Ejections, cause});
    context.emit(WriteLog{{LogLevel::Warning, Step::Wait, view.address, {}, std::string("searcher ejected for its ") + cause}});
}

bool isEjected(const SearcherView &view, TimePoint now)
{
    return view.ejections > 0 && now < view.ejectedUntil;
}

void notePassedProbation(SearcherView &view, TimePoint now)
{
    // A searcher that stays good for as long as the longest ejection starts again with the shortest one.
    if (view.ejections > 0 && now > view.ejectedUntil + FirstEjection * (1U << MaximumDoublings)) {
        view.ejections = 0;
    }
}
}
