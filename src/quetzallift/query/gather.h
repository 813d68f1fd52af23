#pragma once

#include <cstddef>

namespace Quetzallift
{
struct Failure;
struct ReduceContext;
struct RunningQuery;

// Answers the query if every shard is covered, or if nothing is left that could cover more.
void answerIfComplete(ReduceContext &context, RunningQuery &query);

// True if the covered weight reaches the caller's minimum.
bool reachesMinimum(const RunningQuery &query);
}
