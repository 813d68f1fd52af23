#include "quetzallift/routing/straggling.h"

#include "quetzallift/core/reducecontext.h"
#include "quetzallift/routing/dispatch.h"
#include "quetzallift/routing/searcherchoice.h"

#include <algorithm>

namespace Quetzallift
{
namespace
{
// Another look at a straggler for which no other searcher or no budget was there.
constexpr Duration RecheckPause = std::chrono::milliseconds(20);

void checkAt(ReduceContext &context, RunningRequest &request, TimePoint at)
{
    if (at < request.until && (!request.checkAt || at < *request.checkAt)) {
        request.checkAt = at;
        context.emit(StartTimer{{TimerKind::RequestCheck, request.id.value}, at});
    }
}

bool mayHedge(const RunningRequest &request, const PartProgress &part)
{
    const bool waits = !part.covered() && part.waiting.size() == 1;
    return waits && request.route->idempotent && part.runs < request.route->maxAttempts;
}
}

void scheduleStragglerCheck(ReduceContext &context, RunningRequest &request, std::size_t part, TimePoint at)
{
    if (mayHedge(request, request.parts[part])) {
        checkAt(context, request, at);
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
        const ForwardAttempt &attempt = state.attempts.at(part.waiting.front());
        const TimePoint overdueAt = attempt.sentAt + stragglerDelay(context, state.services[part.service], *attempt.searcher);
        if (context.now < overdueAt) {
            next = std::min(next, overdueAt);
        } else if (!sendAgain(context, request, index, ResendCause::Overdue)) {
            next = std::min(next, context.now + RecheckPause);
        }
    }
    checkAt(context, request, next);
}
}
