#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace Quetzallift
{
// The back end and the caller of a set of counts. The caller is empty for counts of the back end as a whole.
struct ServiceKey {
    std::string backEnd;
    std::string caller;

    auto operator<=>(const ServiceKey &) const = default;
};

// The counts of one back end for one caller during a period.
struct ServiceCounts {
    std::uint64_t answers = 0;
    // Answers later than the objective's latency.
    std::uint64_t slow = 0;
    // Answers with less than the objective's coverage.
    std::uint64_t uncovered = 0;
    std::uint64_t refused = 0;
    std::uint64_t subRequests = 0;
    // Hedges and retries.
    std::uint64_t extraSubRequests = 0;
    // Missing shards by searcher and by shard id, each with a bounded number of entries.
    std::map<std::string, std::uint64_t> missingBySearcher;
    std::map<std::uint64_t, std::uint64_t> missingByShard;

    // Adds the counts of another period or host.
    void add(const ServiceCounts &other);
};

using ServiceTable = std::map<ServiceKey, ServiceCounts>;

// Adds the counts of `other` to `table`.
void addTo(ServiceTable &table, const ServiceTable &other);
}
