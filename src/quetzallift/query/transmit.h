#pragma once

namespace Quetzallift
{
struct Attempt;
struct ReduceContext;
struct RunningQuery;
struct SearcherView;

// Sends the sub-request of an attempt; its searcher must have a connection available.
void transmit(ReduceContext &context, RunningQuery &query, Attempt &attempt, SearcherView &view);
}
