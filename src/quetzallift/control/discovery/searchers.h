#pragma once

namespace Quetzallift
{
struct ReduceContext;

// Lists the searchers, or watches for changes since the last known version.
void followSearchers(ReduceContext &context);

// Drops entries that vanished around an outage and did not come back.
void expireSearchers(ReduceContext &context);

// Gives traffic threads the searchers if they changed.
void publishSearchers(ReduceContext &context);
}
