#pragma once

#include "quetzallift/model/ids.h"
#include "quetzallift/model/step.h"

#include <string>

namespace Quetzallift
{
struct QueryArrived;
struct ReduceContext;
struct RunningQuery;

// Checks a query against the bundle and the host's state. Emits the refusal and returns false if it may not run.
bool admit(ReduceContext &context, const QueryArrived &event);

// Counts an admitted query until noteQueryEnded.
void noteQueryStarted(ReduceContext &context, RunningQuery &query);

// Learns from a query that ends, whatever its outcome, how many may run at a time.
void noteQueryEnded(ReduceContext &context, const RunningQuery &query);

// Answers that nothing of the query was run, and why.
void refuse(ReduceContext &context, QueryId query, Step step, const std::string &reason);
}
