#include "quetzallift/query/connections.h"

#include "quetzallift/query/querystate.h"

#include <algorithm>
#include <functional>

namespace Quetzallift
{
namespace
{
// Long enough for several sub-requests; short enough that a query can wait for the next turn within its deadline.
constexpr Duration TurnLength = std::chrono::milliseconds(200);
// No sub-request is in flight during the end of a turn: a connection that times out late must not overlap the next turn.
constexpr Duration TurnGuard = std::chrono::milliseconds(20);

unsigned connectionsInUse(const SearcherView &view)
{
    return view.inFlight + (view.probing ? 1U : 0U);
}

unsigned shareOf(const QueryState &state, const std::string &searcher)
{
    if (!state.control) {
        return 0;
    }
    const auto found = state.control->connectionShares.find(searcher);
    return found == state.control->connectionShares.end() ? 0 : found->second;
}

// Threads of one process read the same clock, so they agree on the turn number without synchronisation.
ConnectionAllowance rotatingAllowance(const ThreadIndex &threadIndex, std::size_t offset, unsigned share, TimePoint now)
{
    const auto turn = static_cast<std::uint64_t>(now.time_since_epoch() / TurnLength);
    const std::uint64_t position = (threadIndex.number + offset + turn) % threadIndex.count;
    const TimePoint start(TurnLength * static_cast<Duration::rep>(turn));
    if (position < share && now < start + TurnLength - TurnGuard) {
        return {1, false, true, start + TurnLength - TurnGuard};
    }
    // A thread's position rises by one with each turn; positions below the share have a connection.
    const std::uint64_t turns = position < share && position + 1 < share ? 1 : threadIndex.count - position;
    return {0, false, true, start + TurnLength * static_cast<Duration::rep>(turns)};
}
}

ConnectionAllowance connectionAllowance(const QueryState &state, const std::string &searcher, TimePoint now)
{
    const unsigned share = shareOf(state, searcher);
    if (share == 0) {
        return {0, true, false, {}};
    }
    const ThreadIndex &threadIndex = state.threadIndex;
    // Distributes the remainders of different searchers over the threads.
    const std::size_t offset = std::hash<std::string>{}(searcher) % threadIndex.count;
    if (share < threadIndex.count) {
        return rotatingAllowance(threadIndex, offset, share, now);
    }
    const bool extra = (threadIndex.number + offset) % threadIndex.count < share % threadIndex.count;
    return {share / threadIndex.count + (extra ? 1U : 0U), false, false, {}};
}

bool canUseConnection(const SearcherView &view, const ConnectionAllowance &allowance, TimePoint now)
{
    const unsigned used = connectionsInUse(view);
    if (used >= allowance.connections) {
        return false;
    }
    return view.open > used || now >= view.openingUntil;
}

bool acquireConnection(SearcherView &view, const ConnectionAllowance &allowance, TimePoint now)
{
    if (view.open <= connectionsInUse(view)) {
        view.open = connectionsInUse(view) + 1;
        view.openingUntil = now + view.connectionCost;
    }
    ++view.inFlight;
    return allowance.rotates || view.open > allowance.connections;
}
}
