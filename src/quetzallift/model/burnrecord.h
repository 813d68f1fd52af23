#pragma once

#include "quetzallift/model/servicecounts.h"
#include "quetzallift/model/time.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace Quetzallift
{
// Lengths of the windows of wall-clock time, which are numbered from the epoch. Short windows serve burn-rate alerts over
// hours, long windows the error budget over days.
constexpr std::chrono::minutes ShortWindow{5};
constexpr std::chrono::hours LongWindow{1};
// 6 hours of short and 3 days of long closed windows, each with the open window.
constexpr std::size_t ShortWindowsKept = 73;
constexpr std::size_t LongWindowsKept = 73;

using WindowIndex = std::int64_t;

// The counts of one host, as stored in the platform object `burn/<host>`. The counts are totals for each window, so that
// writing the record is idempotent.
struct BurnRecord {
    std::string host;
    // A token unique to one run of the process; a writer that finds the token of another run has been replaced.
    std::string run;
    WallTime writtenAt;
    std::map<WindowIndex, ServiceTable> shortWindows;
    std::map<WindowIndex, ServiceTable> longWindows;

    // Adds counts to the windows of the given time and drops windows that are too old.
    void count(WallTime at, const ServiceTable &table);

    // Adds the windows of an earlier run of the same host.
    void addEarlierRun(const BurnRecord &earlier);
};

WindowIndex shortWindowAt(WallTime time);
WindowIndex longWindowAt(WallTime time);
}
