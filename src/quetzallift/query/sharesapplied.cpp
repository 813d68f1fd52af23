#include "quetzallift/query/sharesapplied.h"

#include "quetzallift/core/reducecontext.h"

namespace Quetzallift
{
namespace
{
constexpr Duration CheckPeriod = std::chrono::milliseconds(100);

bool keepsShares(const QueryState &state)
{
    for (const auto &[address, share] : state.control->connectionShares) {
        const auto view = state.searchers.find(address);
        if (view != state.searchers.end() && view->second.inFlight > share) {
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
    if (!keepsShares(state)) {
        context.emit(StartTimer{{TimerKind::SharesCheck, 0}, context.now + CheckPeriod});
        return;
    }
    state.sharesReported = state.control->sharesEpoch;
    context.emit(ReportSharesApplied{state.sharesReported});
}
}
