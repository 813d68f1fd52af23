#include "quetzallift/query/window.h"

#include <algorithm>

namespace Quetzallift
{
namespace
{
// Sub-requests in flight beyond the slots only cover the network round trip; further ones wait on this host, where they
// can still be redirected.
constexpr double WindowPerSlot = 2.0;
// Above a searcher's default connection limit; a configured limit may be higher.
constexpr double UnlimitedWindowSize = 100.0;
// Shedding shows a full queue, a raised latency only a growing queue.
constexpr double ShedFactor = 0.7;
constexpr double LatencyFactor = 0.9;
// With widely varying service times the baseline is about half of the mean even without a queue, so a lower ratio would
// report congestion without queueing.
constexpr double CongestionRatio = 2;
// Differences below this are scheduling noise.
constexpr Duration LatencyNoise = std::chrono::milliseconds(1);
}

Window adaptWindow(const WindowSample &sample)
{
    Window window = sample.window;
    const bool congested = sample.latency > std::chrono::duration_cast<Duration>(sample.baseline * CongestionRatio) + LatencyNoise;
    if (sample.shed || congested) {
        // Replies to sub-requests that were sent before the last decrease do not reflect the lowered window.
        if (sample.sinceLowered >= sample.latency) {
            window.size = std::max(1.0, window.size * (sample.shed ? ShedFactor : LatencyFactor));
        }
        window.slowStart = false;
        return window;
    }
    // A window that is not fully used gives no evidence that the searcher has capacity for a larger one.
    if (sample.inFlight + 1.0 > window.size) {
        window.size = std::min(sample.slots * WindowPerSlot, window.size + (window.slowStart ? 1.0 : 1.0 / window.size));
    }
    return window;
}

Window unlimitedWindow(const WindowSample &)
{
    return Window{UnlimitedWindowSize, false};
}
}
