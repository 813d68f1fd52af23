#include "quetzallift/routing/straggling.h"

#include "quetzallift/core/reducecontext.h"
#include "quetzallift/routing/dispatch.h"
#include "quetzallift/routing/searcherchoice.h"

#include <algorithm>

namespace Quetzallift
{
namespace
{
// Interval between checks of a straggler for which no other searcher or no budget was available.
constexpr Duration RecheckInterval = std::chrono::milliseconds(20);
// Multiplies the median, which stays stable while up to half of the searchers pause or are slow; a tail percentile
// would rise with them. Latencies that spread by a third around the median exceed twice the median in 2 of 100 cases.
constexpr int HedgeFactor = 2;
// An earlier check would count attempts as overdue whose replies are already in this host's own queue.
constexpr Duration MinimumHedgeDelay = std::chrono::milliseconds(10);

bool isNear(const RoutingState &state, const SearcherLoad &searcher)
{
    return searcher.entry.dataCentre == state.dataCentre;
}

void scheduleCheck(ReduceContext &context, RunningRequest &request, TimePoint at)
{
    if (at < request.deadline && (!request.checkAt || at < *request.checkAt)) {
        request.checkAt = at;
        context.emit(StartTimer{{TimerKind::RequestStragglerCheck, request.id.value}, at});
    }
}

bool mayHedge(const RunningRequest &request, const PartProgress &part)
{
    const bool hasSingleAttempt = !part.covered() && part.inFlight.size() == 1;
    return hasSingleAttempt && request.route->idempotent && part.runs < request.route->maxAttempts;
}
}

Duration hedgeDelay(const ReduceContext &context, const ForwardAttempt &attempt)
{
    const RoutingState &state = context.state.routing;
    const SearcherLoad &searcher = *attempt.searcher;
    const auto route = state.latencies.find(attempt.route);
    const auto median = route == state.latencies.end() ? std::nullopt : route->second.at(isNear(state, searcher)).median();
    if (!median) {
        return stragglerDelay(context, state.services.at(searcher.entry.service), searcher);
    }
    return std::max(MinimumHedgeDelay, *median * HedgeFactor);
}

void recordLatency(ReduceContext &context, const ForwardAttempt &attempt)
{
    RoutingState &state = context.state.routing;
    state.latencies[attempt.route].at(isNear(state, *attempt.searcher)).add(context.now - attempt.sentAt);
}

void scheduleStragglerCheck(ReduceContext &context, RunningRequest &request, std::size_t part, TimePoint at)
{
    if (mayHedge(request, request.parts[part])) {
        scheduleCheck(context, request, at);
    }
}

void checkStragglers(ReduceContext &context, RunningRequest &request)
{
    if (!request.checkAt || context.now < *request.checkAt) {
        return;
    }
    request.checkAt.reset();
    RoutingState &state = context.state.routing;
    TimePoint next = TimePoint::max();
    for (std::size_t index = 0; index < request.parts.size(); ++index) {
        PartProgress &part = request.parts[index];
        if (!mayHedge(request, part)) {
            continue;
        }
        const ForwardAttempt &attempt = state.attempts.at(part.inFlight.front());
        const TimePoint overdueAt = attempt.sentAt + hedgeDelay(context, attempt);
        if (context.now < overdueAt) {
            next = std::min(next, overdueAt);
        } else if (!resendPart(context, request, index, ResendCause::Overdue)) {
            next = std::min(next, context.now + RecheckInterval);
        }
    }
    scheduleCheck(context, request, next);
}
}
