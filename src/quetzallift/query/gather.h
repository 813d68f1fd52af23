#pragma once

#include <cstddef>

namespace Quetzallift
{
struct Failure;
struct ReduceContext;
struct RunningQuery;

// Answers the query if every shard is covered, if no outstanding or later attempt can cover more, or if the latency target
// has passed and the minimum coverage is reached.
void answerIfComplete(ReduceContext &context, RunningQuery &query);

// True if the covered weight reaches the caller's minimum coverage.
bool hasMinimumCoverage(const RunningQuery &query);
}
