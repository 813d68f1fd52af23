#pragma once

#include "quetzallift/model/time.h"

namespace Quetzallift
{
struct Attempt;
struct ReduceContext;
struct RunningQuery;
struct SearcherView;

// Puts an attempt into the queue of its searcher and makes sure that the queue is looked at again.
void enqueue(ReduceContext &context, SearcherView &view, Attempt &attempt);

// Takes an attempt out of the queue of its searcher.
void dequeue(SearcherView &view, const Attempt &attempt, const RunningQuery &query);

// Sends queued attempts as far as connections and window allow.
void sendQueued(ReduceContext &context, SearcherView &view);

// Has the queue looked at at this time, unless a timer does so earlier.
void wakeQueue(ReduceContext &context, SearcherView &view, TimePoint at);

// Gives the queued attempts of a searcher that stopped taking work or fell silent to other replicas; fails those of a
// draining one for which there is none.
void redirectQueue(ReduceContext &context, SearcherView &view);

// True if the searcher can be sent one more sub-request now.
bool maySend(const ReduceContext &context, const SearcherView &view);

// The time after which a searcher that has work and sent no reply is taken as silent.
Duration patience(const ReduceContext &context, const SearcherView &view);
}
