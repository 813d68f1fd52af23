#pragma once

#include "quetzallift/model/ids.h"

#include <string>
#include <vector>

namespace Quetzallift
{
// A part of a back end's data and the searchers that hold a replica of this part.
struct Shard {
    ShardId id;
    std::uint64_t weight = 1;
    std::vector<std::string> replicas;
};

// The shards of a back end from a snapshot onward. Repartitioning adds a layout with a higher first snapshot.
struct Layout {
    SnapshotVersion firstSnapshot;
    std::vector<Shard> shards;

    // Returns the weight of all shards, the denominator of coverage.
    std::uint64_t totalWeight() const;
};
}
