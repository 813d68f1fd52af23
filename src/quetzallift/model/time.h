#pragma once

#include <chrono>

namespace Quetzallift
{
// The monotonic clock that stamps events.
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;

// Wall-clock time, used only for data that other machines or people read.
using WallTime = std::chrono::system_clock::time_point;
}
