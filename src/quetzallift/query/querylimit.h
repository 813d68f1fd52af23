#pragma once

#include "quetzallift/model/time.h"

namespace Quetzallift
{
// What one finished query says about the load of a back end.
struct QueryLimitSample {
    double limit = 0.0;
    // Queries running when this one ended, itself included.
    unsigned running = 0;
    // Recent mean latency of queries, and their latency without queueing.
    Duration latency = Duration::zero();
    Duration baseline = Duration::zero();
    // The time within which the back end's policy wants answers.
    Duration target = Duration::zero();
    // Time since the limit was last lowered.
    Duration sinceLowered = Duration::zero();
};

// Additive increase while the limit is used; multiplicative decrease once the latency leaves too little room under the
// target.
double adaptQueryLimit(const QueryLimitSample &sample);

// No limit. For comparison.
double unlimitedQueries(const QueryLimitSample &sample);

// True if the expected time fits into the deadline.
bool expectedInTime(Duration expected, Duration deadline);

// Runs every query whatever its deadline. For comparison.
bool ignoreDeadline(Duration expected, Duration deadline);
}
