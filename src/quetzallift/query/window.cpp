#include "quetzallift/query/window.h"

#include <algorithm>

namespace Quetzallift
{
namespace
{
// What is in flight beyond the slots only covers the way there and back; further work waits better here.
constexpr double WindowPerSlot = 2.0;
// No searcher has more connections than this.
constexpr double NoWindow = 100.0;
// Shedding shows a full queue, a raised latency only a growing one.
constexpr double ShedFactor = 0.7;
constexpr double LatencyFactor = 0.9;
// The baseline lies at about half the mean if service times vary widely, so a ratio of 3 means a real queue.
constexpr double CongestedRatio = 2;
// Differences below this are scheduling noise.
constexpr Duration LatencyNoise = std::chrono::milliseconds(1);
}

Window adaptWindow(const WindowSample &sample)
{
    Window window = sample.window;
    const bool congested = sample.latency > std::chrono::duration_cast<Duration>(sample.baseline * CongestedRatio) + LatencyNoise;
    if (sample.shed || congested) {
        // Replies to what was sent before the last decrease say nothing about the lowered window.
        if (sample.sinceLowered >= sample.latency) {
            window.size = std::max(1.0, window.size * (sample.shed ? ShedFactor : LatencyFactor));
        }
        window.slowStart = false;
        return window;
    }
    // An unused window says nothing about what the searcher could take.
    if (sample.inFlight + 1.0 > window.size) {
        window.size = std::min(sample.slots * WindowPerSlot, window.size + (window.slowStart ? 1.0 : 1.0 / window.size));
    }
    return window;
}

Window unlimitedWindow(const WindowSample &)
{
    return Window{NoWindow, false};
}
}
