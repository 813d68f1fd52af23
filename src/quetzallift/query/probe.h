#pragma once

namespace Quetzallift
{
struct ReduceContext;
struct RunningQuery;

// Asks a few searchers of an announced layout that is newer than the one a query uses, with the same question, whether
// they serve it yet. Without this a layout on searchers that hold no older data would never be used. The query
// counts as one that may have run from then on, since searchers run its request.
void probeNewestLayout(ReduceContext &context, RunningQuery &query);
}
