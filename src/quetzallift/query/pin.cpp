#include "quetzallift/query/pin.h"

#include "quetzallift/model/backend.h"
#include "quetzallift/query/querystate.h"

#include <functional>
#include <set>

namespace Quetzallift
{
namespace
{
// Searchers seldom differ in more than two or three snapshots; the limit bounds the cost of planning if many searchers
// report different ones because of a fault.
constexpr std::size_t MaximumCandidates = 16;

const ReplicaRecord *recordOf(const QueryState &state, const std::string &replica)
{
    const auto found = state.replicaRecords.find(replica);
    return found == state.replicaRecords.end() || !found->second.knowsSnapshots() ? nullptr : &found->second;
}

// Snapshots to examine, newest first: the newest of each searcher, and the last one of each superseded layout.
std::set<SnapshotVersion, std::greater<>> candidateSnapshots(const QueryState &state, const BackEnd &backEnd)
{
    std::set<SnapshotVersion, std::greater<>> found;
    for (const Layout &layout : backEnd.layouts) {
        if (layout.firstSnapshot > backEnd.layouts.front().firstSnapshot) {
            found.insert(SnapshotVersion{layout.firstSnapshot.value - 1});
        }
        for (const Shard &shard : layout.shards) {
            for (const std::string &replica : shard.replicas) {
                const ReplicaRecord *record = recordOf(state, replica);
                if (record != nullptr && record->newestSnapshot >= backEnd.layouts.front().firstSnapshot) {
                    found.insert(record->newestSnapshot);
                }
            }
        }
    }
    return found;
}

// The fraction of the layout's weight that is known to be served at a snapshot.
double servedShare(const QueryState &state, const Layout &layout, SnapshotVersion snapshot)
{
    std::uint64_t served = 0;
    std::uint64_t total = 0;
    for (const Shard &shard : layout.shards) {
        total += shard.weight;
        for (const std::string &replica : shard.replicas) {
            const ReplicaRecord *record = recordOf(state, replica);
            if (record != nullptr && record->serves(snapshot)) {
                served += shard.weight;
                break;
            }
        }
    }
    return total == 0 ? 0.0 : static_cast<double>(served) / static_cast<double>(total);
}

void excludeUnusable(const QueryState &state, Pin &pin)
{
    const std::vector<Shard> &shards = pin.layout->shards;
    for (std::size_t index = 0; index < shards.size(); ++index) {
        for (const std::string &replica : shards[index].replicas) {
            const ReplicaRecord *record = recordOf(state, replica);
            if (record != nullptr && !record->serves(pin.snapshot)) {
                pin.unusable.resize(shards.size());
                pin.unusable[index].push_back(replica);
            }
        }
    }
}
}

Pin choosePin(const QueryState &state, const BackEnd &backEnd)
{
    Pin best;
    double bestShare = 0.0;
    std::size_t examined = 0;
    for (const SnapshotVersion snapshot : candidateSnapshots(state, backEnd)) {
        const Layout *layout = backEnd.layoutAt(snapshot);
        const double share = servedShare(state, *layout, snapshot);
        if (share > bestShare) {
            best = Pin{snapshot, layout, {}};
            bestShare = share;
        }
        if (bestShare >= 1.0 || ++examined == MaximumCandidates) {
            break;
        }
    }
    if (best.layout == nullptr) {
        best = Pin{backEnd.layouts.front().firstSnapshot, &backEnd.layouts.front(), {}};
    }
    excludeUnusable(state, best);
    return best;
}
}
