#pragma once

#include "quetzallift/model/time.h"

namespace Quetzallift
{
struct BackEnd;
struct ReduceContext;

// The expected latency of a query to the back end with the current queues: that of the slowest shard on its best replica.
// Searchers without observations count as zero.
Duration estimateQuery(ReduceContext &context, const BackEnd &backEnd);
}
