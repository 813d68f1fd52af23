#include "quetzallift/query/sharesapplied.h"

#include "quetzallift/core/reducecontext.h"
#include "quetzallift/query/connections.h"

#include <algorithm>

namespace Quetzallift
{
namespace
{
constexpr Duration CheckPeriod = std::chrono::milliseconds(100);

// True if no more sub-requests are in flight than this thread's parts allow; other threads check theirs.
bool keepsShares(const QueryState &state, TimePoint now)
{
    for (const auto &[address, share] : state.control->connectionShares) {
        const auto view = state.searchers.find(address);
        const ConnectionPart part = connectionPart(state, address, now);
        const unsigned allowed = part.rotates ? std::min(share, 1U) : part.connections;
        if (view != state.searchers.end() && view->second.inFlight > allowed) {
            return false;
        }
    }
    return true;
}
}

void reportSharesApplied(ReduceContext &context)
{
    QueryState &state = context.state.query;
    if (!state.control || state.control->sharesEpoch <= state.sharesReported) {
        return;
    }
    if (!keepsShares(state, context.now)) {
        context.emit(StartTimer{{TimerKind::SharesCheck, 0}, context.now + CheckPeriod});
        return;
    }
    state.sharesReported = state.control->sharesEpoch;
    context.emit(ReportSharesApplied{state.sharesReported});
}
}
