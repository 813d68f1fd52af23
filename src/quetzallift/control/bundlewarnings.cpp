#include "quetzallift/control/bundlewarnings.h"

#include "quetzallift/model/bundle.h"

namespace Quetzallift
{
namespace
{
constexpr std::size_t MaximumNamedShards = 5;

std::uint64_t slotsOf(const BackEnd &backEnd)
{
    std::uint64_t slots = 0;
    for (const auto &[address, searcher] : backEnd.searchers) {
        slots += searcher.slots;
    }
    return slots;
}

bool hasOneDataCentre(const Shard &shard, const BackEnd &backEnd)
{
    const std::string &first = backEnd.searchers.at(shard.replicas.front()).dataCentre;
    for (const std::string &replica : shard.replicas) {
        if (backEnd.searchers.at(replica).dataCentre != first) {
            return false;
        }
    }
    return true;
}

// The numbers of the shards; a long list is truncated and starts with the number of shards.
std::string namesOf(const std::vector<ShardId> &shards)
{
    std::string text = shards.size() == 1 ? "shard" : std::to_string(shards.size()) + " shards:";
    for (std::size_t index = 0; index < std::min(shards.size(), MaximumNamedShards); ++index) {
        text += " " + std::to_string(shards[index].value);
    }
    return shards.size() > MaximumNamedShards ? text + " and more" : text;
}

void checkShards(const BackEnd &backEnd, std::vector<std::string> &warnings)
{
    for (const Layout &layout : backEnd.layouts) {
        std::vector<ShardId> single;
        std::vector<ShardId> colocated;
        for (const Shard &shard : layout.shards) {
            if (shard.replicas.size() == 1) {
                single.push_back(shard.id);
            } else if (hasOneDataCentre(shard, backEnd)) {
                colocated.push_back(shard.id);
            }
        }
        const std::string place = backEnd.name + " from snapshot " + std::to_string(layout.firstSnapshot.value) + ": ";
        if (!single.empty()) {
            warnings.push_back(place + "only one replica of " + namesOf(single));
        }
        if (!colocated.empty()) {
            warnings.push_back(place + "all replicas in one data centre of " + namesOf(colocated));
        }
    }
}

void compareBackEnds(const BackEnd &backEnd, const BackEnd &earlier, std::vector<std::string> &warnings)
{
    const std::uint64_t slots = slotsOf(backEnd);
    const std::uint64_t earlierSlots = slotsOf(earlier);
    if (slots * 2 <= earlierSlots) {
        warnings.push_back(backEnd.name + ": capacity falls from " + std::to_string(earlierSlots) + " to " + std::to_string(slots) + " slots");
    }
    if (backEnd.layouts.front().firstSnapshot > earlier.layouts.front().firstSnapshot) {
        warnings.push_back(backEnd.name + ": snapshots before " + std::to_string(backEnd.layouts.front().firstSnapshot.value) + " lose their layout");
    }
}
}

std::vector<std::string> bundleWarnings(const Bundle &bundle, const Bundle *inForce)
{
    std::vector<std::string> warnings;
    for (const auto &[name, backEnd] : bundle.backEnds) {
        checkShards(backEnd, warnings);
    }
    if (inForce == nullptr) {
        return warnings;
    }
    for (const auto &[name, earlier] : inForce->backEnds) {
        const BackEnd *backEnd = bundle.backEnd(name);
        if (backEnd == nullptr) {
            warnings.push_back(name + ": the back end is removed");
        } else {
            compareBackEnds(*backEnd, earlier, warnings);
        }
    }
    for (const auto &[name, caller] : inForce->callers) {
        if (bundle.caller(name) == nullptr) {
            warnings.push_back("caller " + name + " is no longer admitted");
        }
    }
    return warnings;
}
}
