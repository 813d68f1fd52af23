#include "quetzallift/query/observe.h"

#include "quetzallift/core/reducecontext.h"
#include "quetzallift/query/connections.h"

#include <algorithm>

namespace Quetzallift
{
namespace
{
// A searcher without replies for this time starts cold: its caches and connections are assumed lost.
constexpr Duration ColdStartSilence = std::chrono::seconds(30);

Duration toDuration(Seconds seconds)
{
    return std::chrono::duration_cast<Duration>(seconds);
}

// Mean latency of a data centre, the prior for searchers without recent samples.
Seconds typicalLatency(const QueryState &state, const std::string &dataCentre, TimePoint now)
{
    const auto found = state.dataCentres.find(dataCentre);
    return found == state.dataCentres.end() ? Seconds{} : found->second.valueAt(now, Seconds{});
}

// The time for which the searcher has had work and sent no reply.
Duration silentTime(const SearcherView &view, TimePoint now)
{
    return view.sentTimes.empty() ? Duration::zero() : now - std::max(*view.sentTimes.begin(), view.lastReplyAt);
}

// This thread's share of the searcher's slots, in proportion to its connection allowance. If all threads and hosts stay
// within their shares, no work queues at the searcher; a raised latency then has another cause, such as a busy entry host.
double slotsShare(const QueryState &state, const SearcherView &view, TimePoint now)
{
    const BackEnd *backEnd = state.control && state.control->bundle ? state.control->bundle->backEnd(view.backEnd) : nullptr;
    if (backEnd == nullptr || !backEnd->searchers.contains(view.address)) {
        return 0.0;
    }
    const Searcher &searcher = backEnd->searchers.at(view.address);
    const unsigned connections = connectionAllowance(state, view.address, now).connections;
    return static_cast<double>(searcher.slots) * connections / searcher.connectionLimit;
}

void updateWindow(ReduceContext &context, SearcherView &view, bool shed)
{
    WindowSample sample;
    sample.window = view.window;
    sample.slots = view.slots;
    sample.inFlight = view.inFlight + 1;
    sample.shed = shed;
    sample.latency = toDuration(view.latency.value);
    sample.baseline = toDuration(view.baseline.value);
    sample.sinceLowered = context.now - view.windowLoweredAt;
    Window window = context.state.hooks.searcherWindow(sample);
    if (!shed && !window.slowStart) {
        window.size = std::max(window.size, slotsShare(context.state.query, view, context.now));
    }
    if (window.size < view.window.size) {
        view.windowLoweredAt = context.now;
    }
    view.window = window;
}
}

SearcherView &viewOf(ReduceContext &context, const BackEnd &backEnd, const std::string &address)
{
    QueryState &state = context.state.query;
    SearcherView &view = state.searchers[address];
    if (view.number == 0) {
        view.number = ++state.lastSearcher;
        view.address = address;
        view.window = context.state.hooks.searcherWindow(WindowSample{});
        state.searcherNumbers[view.number] = address;
    }
    view.backEnd = backEnd.name;
    const auto found = backEnd.searchers.find(address);
    if (found != backEnd.searchers.end()) {
        view.dataCentre = found->second.dataCentre;
        view.slots = found->second.slots;
        view.connectionCost = found->second.connectionCost;
    }
    return view;
}

ReplicaCandidate candidateOf(const QueryState &state, const SearcherView &view, TimePoint now)
{
    ReplicaCandidate candidate;
    const Seconds latency = view.latency.valueAt(now, typicalLatency(state, view.dataCentre, now));
    candidate.latency = std::max(toDuration(latency), silentTime(view, now));
    candidate.errorRate = view.errors.valueAt(now, 0.0);
    candidate.load = view.inFlight + static_cast<unsigned>(view.queue.size());
    candidate.window = view.window.size;
    candidate.connectionCost = view.open > view.inFlight ? Duration::zero() : view.connectionCost;
    candidate.near = view.dataCentre == state.dataCentre;
    return candidate;
}

void recordServed(ReduceContext &context, SearcherView &view, Duration latency)
{
    const TimePoint now = context.now;
    if (view.latency.samples > 0 && now - view.lastReplyAt > ColdStartSilence) {
        startCold(context, view);
    }
    view.latency.addCapped(latency, now);
    view.baseline.add(view.latency, latency, now);
    context.state.query.dataCentres[view.dataCentre].addCapped(latency, now);
    view.errors.add(0.0, now);
    view.lastReplyAt = now;
    view.consecutiveFailures = 0;
    updateWindow(context, view, false);
}

void recordUnanswered(ReduceContext &context, SearcherView &view, Duration elapsed)
{
    if (Seconds(elapsed) > view.latency.value) {
        view.latency.addCapped(elapsed, context.now);
        context.state.query.dataCentres[view.dataCentre].addCapped(elapsed, context.now);
    }
}

void recordShed(ReduceContext &context, SearcherView &view)
{
    view.lastReplyAt = context.now;
    view.consecutiveFailures = 0;
    updateWindow(context, view, true);
}

void recordError(ReduceContext &context, SearcherView &view)
{
    view.errors.add(1.0, context.now);
    ++view.consecutiveFailures;
}

void startCold(ReduceContext &context, SearcherView &view)
{
    view.window = context.state.hooks.searcherWindow(WindowSample{});
    view.latency.samples = 0;
    view.errors = {};
    view.consecutiveFailures = 0;
}
}
