#include "quetzallift/model/layout.h"

#include <numeric>

namespace Quetzallift
{
std::uint64_t Layout::totalWeight() const
{
    return std::accumulate(shards.begin(), shards.end(), std::uint64_t{0}, [](std::uint64_t sum, const Shard &shard) {
        return sum + shard.weight;
    });
}
}
