#pragma once

#include "quetzallift/model/time.h"

namespace Quetzallift
{
struct Attempt;
struct ReduceContext;
struct RunningQuery;
struct SearcherView;

// Adds an attempt to the queue of its searcher and schedules the processing of the queue.
void enqueue(ReduceContext &context, SearcherView &view, Attempt &attempt);

// Removes an attempt from the queue of its searcher.
void dequeue(SearcherView &view, const Attempt &attempt, const RunningQuery &query);

// Sends queued attempts as far as the connections and the window allow.
void sendQueued(ReduceContext &context, SearcherView &view);

// Schedules the processing of the queue at the given time, unless an earlier timer is set.
void wakeQueue(ReduceContext &context, SearcherView &view, TimePoint at);

// Moves the queued attempts of a draining, ejected or silent searcher to other replicas. If the searcher is draining,
// attempts without another replica fail.
void redirectQueue(ReduceContext &context, SearcherView &view);

// True if one more sub-request can be sent to the searcher now.
bool maySend(const ReduceContext &context, const SearcherView &view);

// The time without a reply after which a searcher that has work counts as silent.
Duration silenceTimeout(const ReduceContext &context, const SearcherView &view);
}
