#pragma once

namespace Quetzallift
{
struct ReduceContext;

// Reports the current epoch of connection shares once this thread is within its allowances. While sub-requests that were
// sent under a larger share are still in flight, the check is repeated periodically.
void reportSharesApplied(ReduceContext &context);
}
