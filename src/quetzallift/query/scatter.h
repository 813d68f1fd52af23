#pragma once

#include <cstddef>
#include <string>

namespace Quetzallift
{
struct ReduceContext;
struct RunningQuery;

// Starts one sub-request for each shard of a planned query.
void scatter(ReduceContext &context, RunningQuery &query);

// Starts a sub-request for one shard at a replica; it is queued if the replica cannot be sent it now.
void sendToReplica(ReduceContext &context, RunningQuery &query, std::size_t shardIndex, const std::string &replica);
}
