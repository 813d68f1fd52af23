#pragma once

#include "quetzallift/model/ids.h"
#include "quetzallift/model/step.h"

#include <string>

namespace Quetzallift
{
struct QueryArrived;
struct ReduceContext;
struct RunningQuery;

// Checks a query against the bundle and the state of this host. Emits the refusal and returns false if it may not run.
bool admit(ReduceContext &context, const QueryArrived &event);

// Counts an admitted query as running until recordQueryEnded.
void recordQueryStarted(ReduceContext &context, RunningQuery &query);

// Removes a query from the running ones, whatever its outcome, and adapts the concurrency limit to its latency.
void recordQueryEnded(ReduceContext &context, const RunningQuery &query);

// Sends a refusal with its reason; nothing of the query was run.
void refuse(ReduceContext &context, QueryId query, Step step, const std::string &reason);
}
