#pragma once

#include "quetzallift/routing/runningrequest.h"

namespace Quetzallift
{
struct ReduceContext;

// Plans a look at an attempt that will be overdue at the given time.
void scheduleStragglerCheck(ReduceContext &context, RunningRequest &request, std::size_t part, TimePoint at);

// Sends parts whose attempts are overdue to another searcher, as far as the budget allows.
void checkStragglers(ReduceContext &context, RunningRequest &request);
}
