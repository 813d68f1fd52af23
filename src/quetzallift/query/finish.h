#pragma once

namespace Quetzallift
{
struct ReduceContext;
struct RunningQuery;
struct ShardProgress;

// Cancels the attempts of a shard that still wait for a reply.
void cancelWaiting(ReduceContext &context, ShardProgress &progress);

// Merges what was gathered, answers the caller and forgets the query. The reference is invalid afterwards.
void finishQuery(ReduceContext &context, RunningQuery &query);

// Forgets a query without an answer. The reference is invalid afterwards.
void dropQuery(ReduceContext &context, RunningQuery &query);
}
