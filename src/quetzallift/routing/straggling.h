#pragma once

#include "quetzallift/routing/runningrequest.h"

namespace Quetzallift
{
struct ForwardAttempt;
struct ReduceContext;

// How long an attempt may wait before its part is sent to another searcher too.
Duration hedgeDelay(const ReduceContext &context, const ForwardAttempt &attempt);

// Learns from an attempt that ended, or was given up, how long requests of its route take.
void noteLatency(ReduceContext &context, const ForwardAttempt &attempt);

// Plans a look at an attempt that will be overdue at the given time.
void scheduleStragglerCheck(ReduceContext &context, RunningRequest &request, std::size_t part, TimePoint at);

// Sends parts whose attempts are overdue to another searcher, as far as the budget allows.
void checkStragglers(ReduceContext &context, RunningRequest &request);
}
