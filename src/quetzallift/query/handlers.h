#pragma once

#include "quetzallift/query/events.h"

namespace Quetzallift
{
struct ReduceContext;
struct TimerKey;

// Admits or refuses a query; an admitted query is scattered immediately if it is repeatable, otherwise after its
// claim is granted.
void handleQueryArrived(ReduceContext &context, const QueryArrived &event);

// Cancels the sub-requests of a repeatable query whose caller disconnected.
void handleQueryAbandoned(ReduceContext &context, const QueryAbandoned &event);

// Gathers a reply, or drops it if it does not match an outstanding attempt.
void handleSubReply(ReduceContext &context, const SubReplyArrived &event);

// Retries the shard on another replica, or records why it is missing.
void handleSubRequestFailed(ReduceContext &context, const SubRequestFailed &event);

// Applies a new control snapshot to queries that arrive from now on.
void handleControlSnapshot(ReduceContext &context, const ControlSnapshotPublished &event);

// Scatters a query whose claim was granted, or answers without running it.
void handleClaimSettled(ReduceContext &context, const ClaimSettled &event);

// Returns a searcher to service if it is healthy, or schedules the next probe.
void handleSearcherProbed(ReduceContext &context, const SearcherProbed &event);

// Processes the queue of a searcher, or probes a draining or ejected one.
void handleSearcherTimer(ReduceContext &context, const TimerKey &timer);

// Runs a straggler check, or answers a query at its latency target or deadline.
void handleQueryTimer(ReduceContext &context, const TimerKey &timer);

// Reports the number of running queries, which the ending process drops without an answer.
void cutOffQueries(ReduceContext &context);

// Refuses new queries and reports when no query, claim or routed request is left.
void stopQueries(ReduceContext &context);
}
