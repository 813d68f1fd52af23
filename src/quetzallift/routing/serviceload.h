#pragma once

#include "quetzallift/query/tokenbucket.h"
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
    TokenBucket extras{0.0};
    // Tokens that hedges leave for retries: a request that failed is lost without one, a slow one is only late.
    double keptForRetries = 0.0;
    std::deque<WaitingPart> waiting;
};
}
