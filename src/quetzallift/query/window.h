#pragma once

#include "quetzallift/model/time.h"

namespace Quetzallift
{
// How many sub-requests a traffic thread keeps in flight at one searcher.
struct Window {
    double size = 1.0;
    // True until the first sign of queueing: the window then grows by one with each reply.
    bool slowStart = true;
};

// What one reply says about a searcher's load.
struct WindowSample {
    Window window;
    // Sub-requests that the searcher runs at a time.
    unsigned slots = 2;
    // Sub-requests in flight when the reply arrived, its own included.
    unsigned inFlight = 0;
    // True if the searcher refused the sub-request because it has too much work.
    bool shed = false;
    // Recent mean latency, and latency without queueing.
    Duration latency = Duration::zero();
    Duration baseline = Duration::zero();
    // Time since the window was last lowered.
    Duration sinceLowered = Duration::zero();
};

// Additive increase while the window is used; multiplicative decrease on shedding or when the latency shows a queue.
Window adaptWindow(const WindowSample &sample);

// No window: only the connection share limits what is in flight. For comparison.
Window unlimitedWindow(const WindowSample &sample);
}
