#pragma once

#include "quetzallift/model/time.h"

namespace Quetzallift
{
// Limit on the sub-requests that a traffic thread has in flight at one searcher.
struct Window {
    double size = 1.0;
    // True until the first sign of queueing: the window then grows by one with each reply.
    bool slowStart = true;
};

// Input for adapting the window after a reply.
struct WindowSample {
    Window window;
    // Sub-requests that the searcher processes concurrently.
    unsigned slots = 2;
    // Sub-requests in flight when the reply arrived, including the one replied to.
    unsigned inFlight = 0;
    // True if the searcher shed the sub-request because it is overloaded.
    bool shed = false;
    // Recent mean latency, and latency without queueing.
    Duration latency = Duration::zero();
    Duration baseline = Duration::zero();
    // Time since the window was last lowered.
    Duration sinceLowered = Duration::zero();
};

// Additive increase while the window is in use; multiplicative decrease on shedding or when the latency shows queueing.
Window adaptWindow(const WindowSample &sample);

// Effectively unlimited: only the connection share limits sub-requests in flight. For comparison measurements.
Window unlimitedWindow(const WindowSample &sample);
}
