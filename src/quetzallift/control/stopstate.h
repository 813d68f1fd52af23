#pragma once

#include <map>

namespace Quetzallift
{
// Progress of a graceful stop.
struct StopState {
    bool requested = false;
    // True once running queries are cut off.
    bool cuttingOff = false;
    // True once all traffic threads have stopped and the process is about to exit.
    bool ended = false;
    // The number of queries that were cut off, by traffic thread that has stopped.
    std::map<unsigned, unsigned> threads;
};
}
