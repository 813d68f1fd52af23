#pragma once

namespace Quetzallift
{
struct ReduceContext;

// Reports the epoch of connection shares that this thread keeps to. While sub-requests that were sent under a larger
// share still run, the check is repeated after a short wait.
void reportSharesApplied(ReduceContext &context);
}
