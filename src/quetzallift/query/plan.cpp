#include "quetzallift/query/plan.h"

#include "quetzallift/query/querystate.h"

namespace Quetzallift
{
namespace
{
const Pin &currentPin(QueryState &state, const RunningQuery &query)
{
    PinCache &cache = state.backEnds[query.backEnd->name].pin;
    if (cache.control != query.control || cache.recordsVersion != state.recordsVersion) {
        cache = PinCache{query.control, state.recordsVersion, choosePin(state, *query.backEnd)};
    }
    return cache.pin;
}
}

bool plan(QueryState &state, RunningQuery &query)
{
    if (query.backEnd->layouts.empty()) {
        return false;
    }
    const Pin &pin = currentPin(state, query);
    query.layout = pin.layout;
    query.snapshot = pin.snapshot;
    query.shards.assign(pin.layout->shards.size(), {});
    query.shardsCovered = 0;
    for (std::size_t index = 0; index < pin.unusable.size(); ++index) {
        query.shards[index].tried.insert(pin.unusable[index].begin(), pin.unusable[index].end());
    }
    return !query.shards.empty();
}
}
