#pragma once

#include "quetzallift/query/agedmean.h"
#include "quetzallift/query/baseline.h"

#include <map>
#include <set>
#include <string>

namespace Quetzallift
{
// One caller's use of a back end on this thread.
struct CallerLoad {
    unsigned running = 0;
    double share = 1.0;
    TimePoint lastArrival;
    // Decaying peak of the caller's concurrent queries; predicts its demand in the near future.
    double recentPeak = 0.0;
    TimePoint peakAt;
    // The virtual time at which the caller's next query may start.
    double nextTag = 0.0;
};

// The queries of one back end on this thread and their concurrency limit.
struct BackEndLoad {
    // Initial concurrency limit: high enough for a start; in an overload it is lowered as soon as the first answers
    // arrive.
    static constexpr double FirstLimit = 64.0;

    double limit = FirstLimit;
    TimePoint limitLoweredAt;
    unsigned running = 0;
    AgedMean<Seconds> latency;
    // Latencies of queries vary little, because each is the longest of many sub-requests.
    Baseline baseline = Baseline::rising(Seconds(600.0));
    std::map<std::string, CallerLoad> callers;
    // Virtual start times of the running queries, and the virtual time of the back end.
    std::multiset<double> startTags;
    double virtualTime = 0.0;
};
}
