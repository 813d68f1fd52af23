#pragma once

namespace Quetzallift
{
struct ReduceContext;

// Schedules the next check whether a peer must be polled.
void schedulePeerTablesPoll(ReduceContext &context);

// Requests routes and searchers from a peer if the store has not answered within StoreSilenceTimeout.
void pollPeerTables(ReduceContext &context);
}
