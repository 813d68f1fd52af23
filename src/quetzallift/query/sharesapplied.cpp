#include "quetzallift/query/sharesapplied.h"

#include "quetzallift/core/reducecontext.h"
#include "quetzallift/query/connections.h"

#include <algorithm>

namespace Quetzallift
{
namespace
{
constexpr Duration CheckPeriod = std::chrono::milliseconds(100);

// True if this thread has no more sub-requests in flight than its allowances; other threads check their own.
bool isWithinShares(const QueryState &state, TimePoint now)
{
    for (const auto &[address, share] : state.control->connectionShares) {
        const auto view = state.searchers.find(address);
        const ConnectionAllowance allowance = connectionAllowance(state, address, now);
        const unsigned allowed = allowance.rotates ? std::min(share, 1U) : allowance.connections;
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
    if (!isWithinShares(state, context.now)) {
        context.emit(StartTimer{{TimerKind::SharesCheck, 0}, context.now + CheckPeriod});
        return;
    }
    state.sharesReported = state.control->sharesEpoch;
    context.emit(ReportSharesApplied{state.sharesReported});
}
}
