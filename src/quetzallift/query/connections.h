#pragma once

#include "quetzallift/model/time.h"

#include <string>

namespace Quetzallift
{
struct QueryState;
struct SearcherView;

// A traffic thread's allowance of a searcher's connections at one instant. The allowances of all threads never add up to
// more than the host's share. If the share is smaller than the number of threads, the connections rotate among them:
// during its turn a thread opens connections that are closed after one sub-request and at the end of the turn.
struct ConnectionAllowance {
    // Maximum number of connections that this thread may use now.
    unsigned connections = 0;
    // True if the host has no share of the searcher's connections, so that no thread gets one.
    bool excluded = false;
    // True if the connections rotate among the threads.
    bool rotates = false;
    // End of this thread's turn, or start of its next one if connections is 0. Set only if the connections rotate.
    TimePoint until;
};

// This thread's allowance of the connections to a searcher.
ConnectionAllowance connectionAllowance(const QueryState &state, const std::string &searcher, TimePoint now);

// True if a sub-request can be sent to the searcher now, on an idle connection, or on a new one if none is being
// opened.
bool canUseConnection(const SearcherView &view, const ConnectionAllowance &allowance, TimePoint now);

// Marks a connection as in use. Returns true if it has to be closed after its sub-request.
bool acquireConnection(SearcherView &view, const ConnectionAllowance &allowance, TimePoint now);
}
