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
// Runs one thread's reducer on an ACE reactor: stamps events with the time, applies them in order and hands the effects
// to the edge. Only post() may be called from another thread.
class EventLoop
{
public:
    using EffectHandler = std::function<void(const Effect &)>;

    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    // The state that the reducer works on. To be set up before run().
    State &state();
    const State &state() const;

    // The reactor on which sockets of this thread are registered.
    ACE_Reactor &reactor();

    // Sets what carries out effects, except for timers, which the loop sets itself.
    void setEffectHandler(EffectHandler handler);

    // Applies an event now, or after the one that is being applied.
    void dispatch(EventBody event);

    // Hands an event to this loop's thread. Any thread may call it.
    void post(EventBody event);

    // Calls back once at the given time.
    void callAt(TimePoint at, std::function<void()> callback);

    // Works until stop() is called on this thread.
    void run();
    void stop();

private:
    class TimerQueue;
    class Timers;

    void apply(EventBody event);
    void carryOut(const Effect &effect);

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
