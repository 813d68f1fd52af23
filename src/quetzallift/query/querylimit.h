#pragma once

#include "quetzallift/model/time.h"

namespace Quetzallift
{
// Input for adapting the concurrency limit of a back end after a query.
struct QueryLimitSample {
    double limit = 0.0;
    // Queries running when this one ended, including this one.
    unsigned running = 0;
    // Recent mean latency of queries, and their latency without queueing.
    Duration latency = Duration::zero();
    Duration baseline = Duration::zero();
    // The latency target of the back end, or the deadline of the query if that is shorter.
    Duration target = Duration::zero();
    // Time since the limit was last lowered.
    Duration sinceLowered = Duration::zero();
};

// Additive increase while the limit is in use; multiplicative decrease once the latency exceeds the congestion threshold
// below the target.
double adaptQueryLimit(const QueryLimitSample &sample);

// No limit. For comparison measurements.
double unlimitedQueries(const QueryLimitSample &sample);

// True if the expected latency is within the deadline.
bool fitsDeadline(Duration expected, Duration deadline);

// Admits every query whatever its deadline. For comparison measurements.
bool ignoreDeadline(Duration expected, Duration deadline);
}
