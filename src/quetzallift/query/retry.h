#pragma once

#include <cstddef>

namespace Quetzallift
{
struct Failure;
struct ReduceContext;
struct RunningQuery;

// Sends a shard whose last attempt failed to another replica if the request may be repeated and the retry budget pays;
// else the shard stays missing for the reason given. An attempt that was never sent adds no load and costs no budget.
void retryShard(ReduceContext &context, RunningQuery &query, std::size_t shardIndex, Failure failure, bool sent);

// Starts the whole query again on another snapshot if its own is no longer the one to pin. Returns false if it goes on.
bool restartOnOtherSnapshot(ReduceContext &context, RunningQuery &query);
}
