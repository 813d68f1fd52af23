#pragma once

#include "quetzallift/query/agedmean.h"
#include "quetzallift/query/baseline.h"

#include <map>
#include <set>
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
    // The virtual time at which the caller's next query may start.
    double nextTag = 0.0;
};

// The queries of one back end on this thread, and how many may run at a time.
struct BackEndLoad {
    // Enough for a start: the first answers of an overload lower it within their own latency.
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
