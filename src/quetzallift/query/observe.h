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

// What this thread knows of a searcher; a searcher never seen starts cold.
SearcherView &viewOf(ReduceContext &context, const BackEnd &backEnd, const std::string &address);

// The searcher as replica choice sees it.
ReplicaCandidate candidateOf(const QueryState &state, const SearcherView &view, TimePoint now);

// Learns the latency of a sub-request that a searcher served.
void observeServed(ReduceContext &context, SearcherView &view, Duration latency);

// Learns from a sub-request that was cancelled after this time that the searcher needs at least as long.
void observeUnanswered(ReduceContext &context, SearcherView &view, Duration elapsed);

// Learns that a searcher shed a sub-request: its window shrinks, its errors stay as they are.
void observeShed(ReduceContext &context, SearcherView &view);

// Learns that a sub-request failed at the searcher.
void observeError(ReduceContext &context, SearcherView &view);

// Makes a searcher cold: one sub-request at a time, then slow start.
void startCold(ReduceContext &context, SearcherView &view);
}
