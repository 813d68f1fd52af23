#include "stand_ins/simulation/bundles.h"

namespace Simulation
{
using namespace Quetzallift;

namespace
{
Shard addShard(BackEnd &backEnd, std::size_t shard, std::size_t replicas)
{
    Shard added{{shard}, 1 + shard % 3, {}};
    for (std::size_t replica = 0; replica < replicas; ++replica) {
        const std::string address = "s" + std::to_string(shard) + "r" + std::to_string(replica);
        backEnd.searchers[address] = Searcher{address, "kingston-a"};
        added.replicas.push_back(address);
    }
    return added;
}
}

RefPtr<Bundle> makeBundle(std::size_t shards, std::size_t replicas, DeadlinePreference preference)
{
    RefPtr<Bundle> bundle(new Bundle);
    BackEnd &backEnd = bundle->backEnds["data"];
    backEnd.name = "data";
    backEnd.policy.preference = preference;
    backEnd.layouts.push_back({{1}, {}});
    for (std::size_t shard = 0; shard < shards; ++shard) {
        backEnd.layouts.front().shards.push_back(addShard(backEnd, shard, replicas));
    }
    bundle->callers["guide"] = CallerPolicy{"guide", 1.0, {}};
    return bundle;
}

RefPtr<Bundle> repartition(const Bundle &bundle, SnapshotVersion firstSnapshot)
{
    RefPtr<Bundle> next(new Bundle(bundle));
    BackEnd &backEnd = next->backEnds["data"];
    Layout layout = backEnd.layouts.back();
    layout.firstSnapshot = firstSnapshot;
    for (Shard &shard : layout.shards) {
        ++shard.weight;
    }
    layout.shards.push_back(addShard(backEnd, layout.shards.size(), layout.shards.front().replicas.size()));
    layout.shards.back().weight = 100;
    backEnd.layouts.push_back(std::move(layout));
    return next;
}
}
