#pragma once

#include "quetzallift/core/event.h"

#include <functional>

namespace Quetzallift
{
// Gives an event to the control thread.
using ControlPost = std::function<void(EventBody)>;

// A thread that serves clients.
class Traffic
{
public:
    Traffic() = default;
    virtual ~Traffic() = default;
    Traffic(const Traffic &) = delete;
    Traffic &operator=(const Traffic &) = delete;

    virtual void start() = 0;

    // Gives an event to this thread. Any thread may call it.
    virtual void post(EventBody event) = 0;

    // Ends the loop and waits for the thread.
    virtual void finish() = 0;
};
}
