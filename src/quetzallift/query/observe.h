#pragma once

#include "quetzallift/model/ids.h"
#include "quetzallift/model/time.h"
#include "quetzallift/query/replicachoice.h"

#include <string>

namespace Quetzallift
{
struct Attempt;
struct BackEnd;
struct QueryState;
struct ReduceContext;
struct SearcherView;

// This thread's view of a searcher; a view is created cold on first use.
SearcherView &viewOf(ReduceContext &context, const BackEnd &backEnd, const std::string &address);

// Builds the input of replica choice for a searcher.
ReplicaCandidate candidateOf(const QueryState &state, const SearcherView &view, TimePoint now);

// Records the latency of a successful sub-request.
void recordServed(ReduceContext &context, SearcherView &view, Duration latency);

// Records the elapsed time of an unanswered sub-request as a lower bound of the searcher's latency.
void recordUnanswered(ReduceContext &context, SearcherView &view, Duration elapsed);

// Records that a searcher shed a sub-request: its window shrinks, its error rate is unchanged.
void recordShed(ReduceContext &context, SearcherView &view);

// Records a failed sub-request.
void recordError(ReduceContext &context, SearcherView &view);

// Resets a searcher to the cold state: a window of one, then slow start.
void startCold(ReduceContext &context, SearcherView &view);
}
