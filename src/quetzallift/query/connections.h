#pragma once

#include "quetzallift/model/time.h"

#include <string>

namespace Quetzallift
{
struct QueryState;
struct SearcherView;

// What a traffic thread may do with a searcher's connections at one instant. The parts of all threads never add up to
// more than the host's share. If the share is smaller than the number of threads, its connections rotate: a thread
// without one gets its turn, during which it opens connections that close after one sub-request and end with the turn.
struct ConnectionPart {
    // Connections that this thread may use now.
    unsigned connections = 0;
    // True if this thread will never get a connection.
    bool never = false;
    // True if the part rotates.
    bool rotates = false;
    // The end of the turn, or the start of the next one if connections is 0. Set only if the part rotates.
    TimePoint until;
};

// The part of this thread in the connections to a searcher.
ConnectionPart connectionPart(const QueryState &state, const std::string &searcher, TimePoint now);

// True if a sub-request can be sent to the searcher now, on an idle connection or on one that may be opened now.
bool mayUseConnection(const SearcherView &view, const ConnectionPart &part, TimePoint now);

// Takes a connection into use. Returns true if it has to be closed after its sub-request.
bool takeConnection(SearcherView &view, const ConnectionPart &part, TimePoint now);
}
