#pragma once

#include "quetzallift/model/time.h"

namespace Quetzallift
{
struct BackEnd;
struct ReduceContext;

// The time that a query to the back end is expected to take with the present queues: the slowest shard on its best
// replica. Zero for what was never observed.
Duration estimateQuery(ReduceContext &context, const BackEnd &backEnd);
}
