#pragma once

namespace Quetzallift
{
struct ReduceContext;
struct RunningQuery;

// Sets the one timer of a query that looks for shards whose attempts wait too long, unless an earlier one is set.
void scheduleStragglerCheck(ReduceContext &context, RunningQuery &query);

// When the check is due, hedges the shards that have waited for the hedge delay, and tries again those of which every replica failed.
void checkStragglers(ReduceContext &context, RunningQuery &query);

// True if shards that nothing waits for will be tried again, so that the query need not be answered yet.
bool retriesLater(const ReduceContext &context, const RunningQuery &query);
}
