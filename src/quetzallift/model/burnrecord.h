#pragma once

#include "quetzallift/model/servicecounts.h"
#include "quetzallift/model/time.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace Quetzallift
{
// Fixed windows of wall-clock time, counted from the epoch. Short ones serve the alerts of the last hours, long ones the
// budget of the last days.
constexpr std::chrono::minutes ShortWindow{5};
constexpr std::chrono::hours LongWindow{1};
// 6 hours and 3 days of closed windows, and the open one.
constexpr std::size_t ShortWindowsKept = 73;
constexpr std::size_t LongWindowsKept = 73;

using WindowIndex = std::int64_t;

// The counts of one host, as the platform object `burn/<host>` holds them. They are totals for each window, so that
// writing the record again changes nothing.
struct BurnRecord {
    std::string host;
    // Unique to a run of the process; a writer that finds another run's token has been replaced.
    std::string run;
    WallTime writtenAt;
    std::map<WindowIndex, ServiceTable> shortWindows;
    std::map<WindowIndex, ServiceTable> longWindows;

    // Counts what happened at a time, and drops windows that are too old.
    void count(WallTime at, const ServiceTable &table);

    // Adds the windows of an earlier run of the same host.
    void addEarlierRun(const BurnRecord &earlier);
};

WindowIndex shortWindowAt(WallTime time);
WindowIndex longWindowAt(WallTime time);
}
