#pragma once

#include "quetzallift/routing/retrybudget.h"
#include "quetzallift/routing/searcherload.h"

#include <deque>
#include <optional>
#include <vector>

namespace Quetzallift
{
// A part of a request that waits until a searcher of its service may take it.
struct WaitingPart {
    QueryId request;
    std::size_t part = 0;
};

// One service as a traffic thread sees it: its searchers, its budget of extra requests, and what waits for it.
struct ServiceLoad {
    std::vector<SearcherLoadPtr> searchers;
    // Connections of one searcher that this host may use.
    unsigned connections = 1;
    LatencyAverage latency;
    RetryBudget extras;
    std::deque<WaitingPart> waiting;
};
}
