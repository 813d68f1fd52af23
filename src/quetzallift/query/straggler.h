#pragma once

namespace Quetzallift
{
struct ReduceContext;
struct RunningQuery;

// Sets the single straggler timer of a query, unless an earlier one is set.
void scheduleStragglerCheck(ReduceContext &context, RunningQuery &query);

// If the check is due, hedges the shards that have waited for the hedge delay, and retries those for which every replica
// has failed.
void checkStragglers(ReduceContext &context, RunningQuery &query);

// True if a retry round for exhausted shards can still start, so that the query need not be answered yet.
bool willRetryLater(const ReduceContext &context, const RunningQuery &query);
}
