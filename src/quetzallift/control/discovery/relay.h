#pragma once

namespace Quetzallift
{
struct ReduceContext;

// Schedules the next check whether a peer must be polled.
void schedulePeerTablesPoll(ReduceContext &context);

// Requests routes and searchers from a peer if this host has none, or if its searchers were not confirmed within three
// seconds.
void pollPeerTables(ReduceContext &context);
}
