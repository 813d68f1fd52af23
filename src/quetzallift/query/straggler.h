#pragma once

namespace Quetzallift
{
struct ReduceContext;
struct RunningQuery;

// Schedules the next check of a query for stragglers and for shards to retry, with one timer for all shards, unless an
// earlier check is scheduled.
void scheduleStragglerCheck(ReduceContext &context, RunningQuery &query);

// If the check is due, hedges the shards that have waited for the hedge delay, and retries the uncovered shards without an
// outstanding attempt.
void checkStragglers(ReduceContext &context, RunningQuery &query);

// True if a retry round for uncovered shards can still start, so that the query need not be answered yet.
bool willRetryLater(const ReduceContext &context, const RunningQuery &query);
}
