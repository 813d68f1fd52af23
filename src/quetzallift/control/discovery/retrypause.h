#pragma once

#include "quetzallift/model/time.h"

namespace Quetzallift
{
struct ReduceContext;

// Returns a random pause before a failed store call is retried. Short enough that a host is up to date within a few seconds
// of the store's recovery, long enough that the calls of all hosts stay far below the rate that the platform sustains:
// several hundred writes and about two thousand reads a second.
Duration retryPause(ReduceContext &context);
}
