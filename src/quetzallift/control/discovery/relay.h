#pragma once

namespace Quetzallift
{
struct ReduceContext;

// Plans the next look at whether peers must be asked.
void startPeerTables(ReduceContext &context);

// Asks a peer for routes and searchers if the store has not answered for a while.
void pollPeerTables(ReduceContext &context);
}
