#include "quetzallift/query/draining.h"

#include "quetzallift/core/reducecontext.h"
#include "quetzallift/query/connections.h"
#include "quetzallift/query/ejection.h"
#include "quetzallift/query/handlers.h"
#include "quetzallift/query/observe.h"
#include "quetzallift/query/searcherqueue.h"

#include <algorithm>

namespace Quetzallift
{
namespace
{
// A restarting searcher is available again after about a second at the earliest.
constexpr Duration InitialProbeInterval = std::chrono::seconds(1);
// The interval between probes doubles up to 8 s, which bounds the load of many hosts' probes on a searcher that stays
// unavailable.
constexpr unsigned MaximumDoublings = 3;
constexpr Duration ProbeTimeout = std::chrono::milliseconds(500);

// Half of the interval is random, so that hosts that lost a searcher at the same time do not probe it at the same time.
void scheduleProbe(ReduceContext &context, const SearcherView &view)
{
    constexpr std::uint64_t Steps = 64;
    const Duration interval = InitialProbeInterval * (1U << std::min(view.probesFailed, MaximumDoublings));
    const Duration jitter = interval * static_cast<Duration::rep>(context.state.hooks.random() % Steps) / static_cast<Duration::rep>(Steps);
    context.emit(StartTimer{{TimerKind::SearcherProbe, view.number}, context.now + interval / 2 + jitter / 2});
}

// Schedules the next health probe of a draining searcher, or extends the ejection.
void scheduleNextProbe(ReduceContext &context, SearcherView &view)
{
    if (view.draining) {
        ++view.probesFailed;
        scheduleProbe(context, view);
    } else {
        extendEjection(context, view);
    }
}
}

void startDraining(ReduceContext &context, SearcherView &view, const char *reason)
{
    if (view.draining) {
        return;
    }
    view.draining = true;
    view.probesFailed = 0;
    context.emit(CountMetric{Metric::SearchersDraining, reason});
    context.emit(WriteLog{{LogLevel::Info, Step::Wait, view.address, {}, std::string("searcher is draining: ") + reason}});
    wakeQueue(context, view, context.now);
    scheduleProbe(context, view);
}

void applyHostList(ReduceContext &context, const ControlSnapshot &snapshot)
{
    for (auto &[address, view] : context.state.query.searchers) {
        view.listedLeaving = snapshot.leavingSearchers.contains(address);
        if (view.listedLeaving) {
            startDraining(context, view, "host list");
        }
    }
    for (const std::string &address : snapshot.leavingSearchers) {
        for (const auto &[name, backEnd] : snapshot.bundle ? snapshot.bundle->backEnds : std::map<std::string, BackEnd>{}) {
            if (backEnd.searchers.contains(address)) {
                SearcherView &view = viewOf(context, backEnd, address);
                view.listedLeaving = true;
                startDraining(context, view, "host list");
            }
        }
    }
}

void probeHealth(ReduceContext &context, SearcherView &view)
{
    const bool ejectionDue = view.ejected && context.now >= view.ejectedUntil;
    if ((!view.draining && !ejectionDue) || view.probing) {
        return;
    }
    const ConnectionAllowance allowance = connectionAllowance(context.state.query, view.address, context.now);
    // If the health page contradicts the host list, the page is more often stale than the list.
    if (view.listedLeaving || view.inFlight >= allowance.connections) {
        scheduleProbe(context, view);
        return;
    }
    view.probing = true;
    context.emit(ProbeSearcher{view.address, ProbeTimeout});
}

void handleSearcherProbed(ReduceContext &context, const SearcherProbed &event)
{
    const auto found = context.state.query.searchers.find(event.searcher);
    if (found == context.state.query.searchers.end() || !found->second.probing) {
        return;
    }
    SearcherView &view = found->second;
    view.probing = false;
    if (!event.healthy || view.listedLeaving) {
        scheduleNextProbe(context, view);
        return;
    }
    view.draining = false;
    if (view.ejected) {
        endEjection(context, view);
    }
    startCold(context, view);
    context.emit(CountMetric{Metric::SearchersBack, view.backEnd});
}
}
