#pragma once

#include "quetzallift/query/events.h"

namespace Quetzallift
{
struct ReduceContext;
struct TimerKey;

// Admits or refuses a query; an admitted one is claimed or scattered.
void handleQueryArrived(ReduceContext &context, const QueryArrived &event);

// Cancels what was sent for a query whose caller went away.
void handleQueryAbandoned(ReduceContext &context, const QueryAbandoned &event);

// Gathers a reply, or drops it if its identity does not match a waiting attempt.
void handleSubReply(ReduceContext &context, const SubReplyArrived &event);

// Retries the shard on another replica, or notes why it is missing.
void handleSubRequestFailed(ReduceContext &context, const SubRequestFailed &event);

// Takes over new control decisions for queries that arrive from now on.
void handleControlSnapshot(ReduceContext &context, const ControlSnapshotPublished &event);

// Scatters a claimed query, or answers without running it.
void handleClaimSettled(ReduceContext &context, const ClaimSettled &event);

// Uses a searcher again that its health page shows as back, or plans the next probe.
void handleSearcherProbed(ReduceContext &context, const SearcherProbed &event);

// Looks at the queue of a searcher, or probes one that was draining.
void handleSearcherTimer(ReduceContext &context, const TimerKey &timer);

// Answers a query whose time has run out.
void handleQueryTimer(ReduceContext &context, const TimerKey &timer);

// Reports how many queries still run, for a process that ends without them.
void cutOffQueries(ReduceContext &context);

// Takes no more queries and reports when none is left.
void stopQueries(ReduceContext &context);
}
