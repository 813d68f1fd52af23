#pragma once

namespace Quetzallift
{
struct Attempt;
struct ReduceContext;
struct RunningQuery;
struct SearcherView;

// Sends the sub-request of an attempt on a connection that its searcher has free.
void transmit(ReduceContext &context, RunningQuery &query, Attempt &attempt, SearcherView &view);
}
