#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace StandIns
{
// What searchers counted since their start.
struct SearcherCounts {
    std::uint64_t arrived = 0;
    std::uint64_t ran = 0;
    std::uint64_t shed = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t deadlineExceeded = 0;
    std::uint64_t refusedConnections = 0;
    std::uint64_t openedConnections = 0;
    // Arrivals at a searcher that had said it is leaving.
    std::uint64_t arrivedWhileDraining = 0;
    // Runs of requests that may run at most once, by "request/shard". Their callers give them ids that start with "once-".
    std::map<std::string, unsigned> onceRuns;
};
}
