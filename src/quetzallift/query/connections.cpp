#include "quetzallift/query/connections.h"

#include "quetzallift/query/querystate.h"

#include <algorithm>
#include <functional>

namespace Quetzallift
{
namespace
{
// Long enough for several sub-requests, short enough to wait for within a caller's deadline.
constexpr Duration Turn = std::chrono::milliseconds(200);
// Nothing is in flight in the last part of a turn: a connection that times out late must not overlap the next turn.
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

// Threads of one process read the same clock, so they agree on the number of the turn without talking to each other.
ConnectionPart rotatingPart(const ThreadPlace &place, std::size_t offset, unsigned share, TimePoint now)
{
    const auto turn = static_cast<std::uint64_t>(now.time_since_epoch() / Turn);
    const std::uint64_t position = (place.number + offset + turn) % place.count;
    const TimePoint start(Turn * static_cast<Duration::rep>(turn));
    if (position < share && now < start + Turn - TurnGuard) {
        return {1, false, true, start + Turn - TurnGuard};
    }
    // Positions rise by one with each turn and the first ones have a connection.
    const std::uint64_t turns = position < share && position + 1 < share ? 1 : place.count - position;
    return {0, false, true, start + Turn * static_cast<Duration::rep>(turns)};
}
}

ConnectionPart connectionPart(const QueryState &state, const std::string &searcher, TimePoint now)
{
    const unsigned share = shareOf(state, searcher);
    if (share == 0) {
        return {0, true, false, {}};
    }
    const ThreadPlace &place = state.place;
    // The offset spreads the remainders of different searchers over the threads.
    const std::size_t offset = std::hash<std::string>{}(searcher) % place.count;
    if (share < place.count) {
        return rotatingPart(place, offset, share, now);
    }
    const bool extra = (place.number + offset) % place.count < share % place.count;
    return {share / place.count + (extra ? 1U : 0U), false, false, {}};
}

bool mayUseConnection(const SearcherView &view, const ConnectionPart &part, TimePoint now)
{
    const unsigned used = connectionsInUse(view);
    if (used >= part.connections) {
        return false;
    }
    return view.open > used || now >= view.openingUntil;
}

bool takeConnection(SearcherView &view, const ConnectionPart &part, TimePoint now)
{
    if (view.open <= connectionsInUse(view)) {
        view.open = connectionsInUse(view) + 1;
        view.openingUntil = now + view.connectionCost;
    }
    ++view.inFlight;
    return part.rotates || view.open > part.connections;
}
}
