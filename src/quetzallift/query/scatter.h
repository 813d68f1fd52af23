#pragma once

#include <cstddef>

namespace Quetzallift
{
struct ReduceContext;
struct RunningQuery;

// Sends one sub-request for each shard of a planned query.
void scatter(ReduceContext &context, RunningQuery &query);

// Sends a sub-request for one shard to a replica that was not tried. Returns false if there is none.
bool sendToUntriedReplica(ReduceContext &context, RunningQuery &query, std::size_t shardIndex);
}
