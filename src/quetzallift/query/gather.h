#pragma once

namespace Quetzallift
{
struct ReduceContext;
struct RunningQuery;

// Answers the query if no shard waits for a reply any more.
void answerIfComplete(ReduceContext &context, RunningQuery &query);
}
