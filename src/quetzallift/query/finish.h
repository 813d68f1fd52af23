#pragma once

namespace Quetzallift
{
struct ReduceContext;
struct RunningQuery;
struct ShardProgress;

// Cancels the attempts of a shard that still wait for a reply.
void cancelWaiting(ReduceContext &context, RunningQuery &query, ShardProgress &progress);

// Merges what was gathered, answers the caller and forgets the query. The reference is invalid afterwards.
void finishQuery(ReduceContext &context, RunningQuery &query);

// Tells the control thread once a stopping thread has no query and no claim left.
void reportStopped(ReduceContext &context);

// Forgets a query without an answer. The reference is invalid afterwards.
void dropQuery(ReduceContext &context, RunningQuery &query);
}
