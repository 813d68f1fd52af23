#include "quetzallift/query/plan.h"

#include "quetzallift/query/querystate.h"

#include <algorithm>

namespace Quetzallift
{
namespace
{
// The newest snapshot that some replica of the shard was seen to serve.
SnapshotVersion newestSeen(const QueryState &state, const Shard &shard)
{
    SnapshotVersion newest;
    for (const std::string &replica : shard.replicas) {
        const auto view = state.searchers.find(replica);
        if (view != state.searchers.end()) {
            newest = std::max(newest, view->second.newestSnapshot);
        }
    }
    return newest;
}

// The newest snapshot that all shards of the layout were seen to serve, and at least the layout's first.
SnapshotVersion newestCommon(const QueryState &state, const Layout &layout)
{
    SnapshotVersion common{UINT64_MAX};
    for (const Shard &shard : layout.shards) {
        common = std::min(common, newestSeen(state, shard));
    }
    return std::max(common, layout.firstSnapshot);
}
}

bool plan(const QueryState &state, RunningQuery &query)
{
    if (query.backEnd->layouts.empty()) {
        return false;
    }
    query.layout = &query.backEnd->layouts.back();
    query.snapshot = newestCommon(state, *query.layout);
    query.shards.assign(query.layout->shards.size(), {});
    query.shardsCovered = 0;
    return true;
}
}
