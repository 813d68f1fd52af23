#pragma once

namespace Quetzallift
{
struct ReduceContext;
struct RunningQuery;

// Sends the query's request to a few searchers of an announced layout that is newer than the one the query uses, to
// discover whether they serve it. Without probes a layout on searchers without older data would never be used. The query
// then counts as possibly run, since searchers execute its request.
void probeNewestLayout(ReduceContext &context, RunningQuery &query);
}
