#include "quetzallift/routing/searcherchoice.h"

#include "quetzallift/core/reducecontext.h"

#include <algorithm>

namespace Quetzallift
{
namespace
{
// Work and the way to another region, until replies tell better.
constexpr Duration UnknownLatency = std::chrono::milliseconds(20);
// Below this the check would find replies that are on their way through this host's own queue.
constexpr Duration LeastStragglerDelay = std::chrono::milliseconds(10);
// A searcher that has just started needs about this much longer for the same work.
constexpr double ColdFactor = 2.0;

bool mayGetWork(const SearcherLoad &searcher)
{
    return !searcher.entry.draining && !searcher.displaced;
}

Duration priorOf(const ServiceLoad &service, TimePoint now)
{
    return service.latency.known() ? service.latency.meanAt(now, UnknownLatency) : UnknownLatency;
}

// A searcher that failed several times in a row gets one attempt at a time until it replies.
bool hasRoom(const ServiceLoad &service, const SearcherLoad &searcher)
{
    const std::size_t room = searcher.rests > 0 ? 1 : service.connections;
    return searcher.inFlight.size() < room;
}

ReplicaCandidate candidateOf(const ReduceContext &context, const ServiceLoad &service, const SearcherLoad &searcher)
{
    const Duration prior = priorOf(service, context.now);
    ReplicaCandidate candidate;
    candidate.latency = searcher.latency.meanAt(context.now, prior);
    if (!searcher.inFlight.empty()) {
        // An attempt that is overdue shows a pause before any reply could.
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

SearcherLoadPtr chooseSearcher(ReduceContext &context, const ServiceLoad &service, const std::vector<std::string> &tried)
{
    std::vector<SearcherLoadPtr> usable;
    std::vector<SearcherLoadPtr> resting;
    for (const SearcherLoadPtr &searcher : service.searchers) {
        const bool seen = std::find(tried.begin(), tried.end(), searcher->entry.id) != tried.end();
        if (seen || !mayGetWork(*searcher) || !hasRoom(service, *searcher)) {
            continue;
        }
        (context.now < searcher->restsUntil ? resting : usable).push_back(searcher);
    }
    const std::vector<SearcherLoadPtr> &chosen = usable.empty() ? resting : usable;
    if (chosen.empty()) {
        return nullptr;
    }
    std::vector<ReplicaCandidate> candidates;
    candidates.reserve(chosen.size());
    for (const SearcherLoadPtr &searcher : chosen) {
        candidates.push_back(candidateOf(context, service, *searcher));
    }
    return chosen[context.state.hooks.chooseReplica(candidates, context.state.hooks.random)];
}

bool hasUsableSearcher(const ServiceLoad &service)
{
    return std::any_of(service.searchers.begin(), service.searchers.end(), [](const SearcherLoadPtr &searcher) {
        return mayGetWork(*searcher);
    });
}

Duration stragglerDelay(const ReduceContext &context, const ServiceLoad &service, const SearcherLoad &searcher)
{
    const Duration prior = priorOf(service, context.now);
    return std::max(LeastStragglerDelay, searcher.latency.tailAt(context.now, prior));
}
}
