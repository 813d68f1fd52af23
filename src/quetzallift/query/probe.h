#pragma once

namespace Quetzallift
{
struct ReduceContext;
struct RunningQuery;

// Asks a few searchers of an announced layout that is newer than the one a query uses, with the same question, whether
// they serve it yet. Without this a layout on searchers that hold no older data would never be used.
void probeNewestLayout(ReduceContext &context, const RunningQuery &query);
}
