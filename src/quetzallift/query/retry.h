#pragma once

#include <cstddef>

namespace Quetzallift
{
struct Failure;
struct ReduceContext;
struct RunningQuery;

// Retries a shard whose last attempt failed on another replica if the request is repeatable and the retry budget allows;
// otherwise the shard stays missing with the given failure. The retry of an attempt that was never sent adds no load and
// uses no budget.
void retryShard(ReduceContext &context, RunningQuery &query, std::size_t shardIndex, Failure failure, bool sent);

// Restarts the whole query on another snapshot if its own is no longer the one to pin. Returns false without a restart.
bool restartOnOtherSnapshot(ReduceContext &context, RunningQuery &query);
}
