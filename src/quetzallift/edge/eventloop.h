#pragma once

#include "quetzallift/core/effect.h"
#include "quetzallift/core/event.h"
#include "quetzallift/core/state.h"
#include "quetzallift/edge/mailbox.h"

#include <ace/Reactor.h>

#include <deque>
#include <functional>
#include <memory>

namespace Quetzallift
{
// Runs one thread's reducer on an ACE reactor: timestamps events, applies them in order and passes the effects to the
// effect handler. Only post() may be called from another thread.
class EventLoop
{
public:
    using EffectHandler = std::function<void(const Effect &)>;

    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    // The state that the reducer reads and changes. Must be initialised before run().
    State &state();
    const State &state() const;

    // The reactor with which the sockets of this thread are registered.
    ACE_Reactor &reactor();

    // Sets the function that executes effects, except StartTimer, which the loop executes itself.
    void setEffectHandler(EffectHandler handler);

    // Applies an event immediately, or queues it if another event is being applied.
    void dispatch(EventBody event);

    // Queues an event for this loop's thread. Thread-safe.
    void post(EventBody event);

    // Calls the callback once at the given time.
    void callAt(TimePoint at, std::function<void()> callback);

    // Processes events until stop() is called on this thread.
    void run();
    void stop();

private:
    class TimerQueue;
    class Timers;

    void apply(EventBody event);
    void execute(const Effect &effect);

    std::unique_ptr<TimerQueue> m_timerQueue;
    std::unique_ptr<ACE_Reactor> m_reactor;
    std::unique_ptr<Timers> m_timers;
    Mailbox m_mailbox;
    State m_state;
    EffectHandler m_effectHandler;
    std::deque<EventBody> m_pending;
    bool m_applying = false;
};
}
