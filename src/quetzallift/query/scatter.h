#pragma once

#include <cstddef>
#include <string>

namespace Quetzallift
{
struct ReduceContext;
struct RunningQuery;

// Sends one sub-request for each shard of a planned query.
void scatter(ReduceContext &context, RunningQuery &query);

// Sends a sub-request for one shard to a replica.
void sendToReplica(ReduceContext &context, RunningQuery &query, std::size_t shardIndex, const std::string &replica);
}
