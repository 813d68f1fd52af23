#pragma once

#include "quetzallift/routing/retrybudget.h"
#include "quetzallift/routing/searcherload.h"

#include <deque>
#include <optional>
#include <vector>

namespace Quetzallift
{
// A part of a request that waits for a free connection to a searcher of its service.
struct QueuedPart {
    QueryId request;
    std::size_t part = 0;
};

// A traffic thread's view of a service: its searchers, its budget of extra requests, and its queue of parts.
struct ServiceLoad {
    std::vector<SearcherLoadPtr> searchers;
    // The most connections to one searcher that this traffic thread uses.
    unsigned connections = 1;
    // False if the part of a searcher's connections that this thread owns is less than one connection: it then holds a
    // connection only while a request needs it.
    bool keepsIdleConnections = true;
    LatencyAverage latency;
    RetryBudget retryBudget;
    std::deque<QueuedPart> queue;
};
}
