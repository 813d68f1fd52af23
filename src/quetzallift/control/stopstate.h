#pragma once

#include "quetzallift/model/time.h"

#include <map>
#include <optional>

namespace Quetzallift
{
// Progress of a graceful stop.
struct StopState {
    bool requested = false;
    // The time at which running queries are cut off; set once the stop is requested.
    std::optional<TimePoint> cutOffAt;
    // True once running queries are cut off.
    bool cuttingOff = false;
    // True once all traffic threads have stopped and the process is about to exit.
    bool ended = false;
    // The number of queries that were cut off, by traffic thread that has stopped.
    std::map<unsigned, unsigned> threads;
};
}
