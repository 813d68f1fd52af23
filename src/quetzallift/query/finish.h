#pragma once

namespace Quetzallift
{
struct ReduceContext;
struct RunningQuery;
struct ShardProgress;

// Cancels the outstanding attempts of a shard.
void cancelWaiting(ReduceContext &context, RunningQuery &query, ShardProgress &progress);

// Merges the gathered rows, answers the caller and removes the query. The reference is invalid afterwards.
void finishQuery(ReduceContext &context, RunningQuery &query);

// Reports to the control thread, once, that a stopping thread has no running query, no routed request and no pending
// claim.
void reportStopped(ReduceContext &context);

// Cancels the outstanding attempts of a query and removes it without an answer. The reference is invalid afterwards.
void dropQuery(ReduceContext &context, RunningQuery &query);
}
