#pragma once

#include "quetzallift/query/agedmean.h"
#include "quetzallift/query/baseline.h"

#include <map>
#include <string>

namespace Quetzallift
{
// What one caller uses of a back end on this thread.
struct CallerLoad {
    unsigned running = 0;
    double share = 1.0;
    TimePoint lastArrival;
    // Queries that the caller recently had running at a time, decaying; what it is expected to need again soon.
    double recentPeak = 0.0;
    TimePoint peakAt;
};

// The queries of one back end on this thread, and how many may run at a time.
struct BackEndLoad {
    // Enough for a start: the first answers of an overload lower it within their own latency.
    static constexpr double FirstLimit = 64.0;

    double limit = FirstLimit;
    TimePoint limitLoweredAt;
    unsigned running = 0;
    AgedMean<Seconds> latency;
    Baseline baseline;
    std::map<std::string, CallerLoad> callers;
};
}
