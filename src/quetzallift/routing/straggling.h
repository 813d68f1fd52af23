#pragma once

#include "quetzallift/routing/runningrequest.h"

namespace Quetzallift
{
struct ForwardAttempt;
struct ReduceContext;

// How long an attempt may run before its part is hedged.
Duration hedgeDelay(const ReduceContext &context, const ForwardAttempt &attempt);

// Records the age of an attempt that succeeded or was cancelled as a latency of its route.
void recordLatency(ReduceContext &context, const ForwardAttempt &attempt);

// Schedules a check of a part whose attempt will be overdue at the given time, if the part may be hedged.
void scheduleStragglerCheck(ReduceContext &context, RunningRequest &request, std::size_t part, TimePoint at);

// Hedges the parts whose attempts are overdue, as far as the retry budget allows.
void checkStragglers(ReduceContext &context, RunningRequest &request);
}
