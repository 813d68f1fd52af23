#include "quetzallift/routing/searcherchoice.h"

#include "quetzallift/core/reducecontext.h"
#include "quetzallift/routing/searcherstatements.h"

#include <algorithm>

namespace Quetzallift
{
namespace
{
// Execution and the round trip to another region; assumed until replies give a measured latency.
constexpr Duration UnknownLatency = std::chrono::milliseconds(20);
// An earlier check would count attempts as overdue whose replies are already in this host's own queue.
constexpr Duration MinimumStragglerDelay = std::chrono::milliseconds(10);
// A searcher that has just started needs about twice the time for the same work.
constexpr double ColdFactor = 2.0;

Duration priorLatency(const ServiceLoad &service, TimePoint now)
{
    return service.latency.hasSamples() ? service.latency.meanAt(now, UnknownLatency) : UnknownLatency;
}

// After an ejection or a refusal a searcher gets one attempt at a time until it replies with success, also once the time of
// the ejection or refusal is over.
bool hasFreeConnection(const ServiceLoad &service, const SearcherLoad &searcher)
{
    const std::size_t limit = searcher.consecutiveEjections > 0 || searcher.returning ? 1 : service.connections;
    return searcher.inFlight.size() < limit;
}

ReplicaCandidate makeCandidate(const ReduceContext &context, const ServiceLoad &service, const SearcherLoad &searcher)
{
    const Duration prior = priorLatency(service, context.now);
    ReplicaCandidate candidate;
    candidate.latency = searcher.latency.meanAt(context.now, prior);
    if (!searcher.inFlight.empty()) {
        // An overdue attempt shows a pause before any reply does, so its age counts as a latency.
        const Duration age = context.now - searcher.inFlight.front().sentAt;
        if (age > stragglerDelay(context, service, searcher)) {
            candidate.latency = std::max(candidate.latency, age);
        }
    }
    if (context.now < searcher.entry.coldUntil) {
        candidate.latency = std::chrono::duration_cast<Duration>(candidate.latency * ColdFactor);
    }
    candidate.errorRate = searcher.errors.valueAt(context.now, 0.0);
    candidate.load = static_cast<unsigned>(searcher.inFlight.size());
    candidate.window = searcher.entry.slots;
    candidate.near = searcher.entry.dataCentre == context.state.routing.dataCentre;
    return candidate;
}
}

bool mayReceiveRequests(const SearcherLoad &searcher)
{
    return !searcher.entry.draining && !searcher.leaving && !searcher.addressReused;
}

SearcherLoadPtr chooseSearcher(ReduceContext &context, const ServiceLoad &service, const std::vector<std::string> &tried)
{
    std::vector<SearcherLoadPtr> usable;
    std::vector<SearcherLoadPtr> ejected;
    for (const SearcherLoadPtr &searcher : service.searchers) {
        const bool alreadyTried = std::find(tried.begin(), tried.end(), searcher->entry.id) != tried.end();
        const bool held = nextSend(*searcher, context.now) > context.now;
        if (alreadyTried || held || !mayReceiveRequests(*searcher) || !hasFreeConnection(service, *searcher)) {
            continue;
        }
        (context.now < searcher->ejectedUntil ? ejected : usable).push_back(searcher);
    }
    const std::vector<SearcherLoadPtr> &chosen = usable.empty() ? ejected : usable;
    if (chosen.empty()) {
        return nullptr;
    }
    std::vector<ReplicaCandidate> candidates;
    candidates.reserve(chosen.size());
    for (const SearcherLoadPtr &searcher : chosen) {
        candidates.push_back(makeCandidate(context, service, *searcher));
    }
    return chosen[context.state.hooks.chooseReplica(candidates, context.state.hooks.random)];
}

Duration stragglerDelay(const ReduceContext &context, const ServiceLoad &service, const SearcherLoad &searcher)
{
    const Duration prior = priorLatency(service, context.now);
    return std::max(MinimumStragglerDelay, searcher.latency.tailAt(context.now, prior));
}
}
