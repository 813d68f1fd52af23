#include "quetzallift/query/queryestimate.h"

#include "quetzallift/core/reducecontext.h"
#include "quetzallift/query/observe.h"

#include <algorithm>

namespace Quetzallift
{
namespace
{
Duration estimateShard(ReduceContext &context, const BackEnd &backEnd, const Shard &shard)
{
    Duration best = Duration::max();
    for (const std::string &replica : shard.replicas) {
        const SearcherView &view = viewOf(context, backEnd, replica);
        if (!view.draining) {
            best = std::min(best, expectedTime(candidateOf(context.state.query, view, context.now)));
        }
    }
    // A shard without a usable replica is reported as missing in the answer; it is no reason to refuse the query.
    return best == Duration::max() ? Duration::zero() : best;
}
}

Duration estimateQuery(ReduceContext &context, const BackEnd &backEnd)
{
    Duration longest = Duration::zero();
    if (!backEnd.layouts.empty()) {
        for (const Shard &shard : backEnd.layouts.back().shards) {
            longest = std::max(longest, estimateShard(context, backEnd, shard));
        }
    }
    return longest;
}
}
