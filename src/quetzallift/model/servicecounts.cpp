#include "quetzallift/model/servicecounts.h"

namespace Quetzallift
{
namespace
{
// Maximum number of searchers, and of shards, with separate counts. A fault that affects more of them is still visible in
// the totals.
constexpr std::size_t MaximumCauses = 32;

template<typename Key>
void addBounded(std::map<Key, std::uint64_t> &causes, const std::map<Key, std::uint64_t> &other)
{
    for (const auto &[cause, count] : other) {
        if (causes.size() < MaximumCauses || causes.contains(cause)) {
            causes[cause] += count;
        }
    }
}
}

void ServiceCounts::add(const ServiceCounts &other)
{
    answers += other.answers;
    slow += other.slow;
    uncovered += other.uncovered;
    refused += other.refused;
    subRequests += other.subRequests;
    extraSubRequests += other.extraSubRequests;
    addBounded(missingBySearcher, other.missingBySearcher);
    addBounded(missingByShard, other.missingByShard);
}

void addTo(ServiceTable &table, const ServiceTable &other)
{
    for (const auto &[key, counts] : other) {
        table[key].add(counts);
    }
}
}
