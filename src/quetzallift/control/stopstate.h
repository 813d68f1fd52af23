#pragma once

#include <map>

namespace Quetzallift
{
// How far a graceful stop has come.
struct StopState {
    bool requested = false;
    // True once the queries that still run are cut off.
    bool cuttingOff = false;
    // True once the process's end is decided.
    bool ended = false;
    // The traffic threads that have stopped, and how many queries each cut off.
    std::map<unsigned, unsigned> threads;
};
}
