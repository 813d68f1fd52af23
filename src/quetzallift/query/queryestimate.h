#pragma once

#include "quetzallift/model/time.h"

namespace Quetzallift
{
struct BackEnd;
struct ReduceContext;

// The expected latency of a query to the back end with the current queues: that of the slowest shard
// of the newest layout on its best replica. A searcher without samples counts with the mean latency of its data centre, or
// zero if there is none.
Duration estimateQuery(ReduceContext &context, const BackEnd &backEnd);
}
