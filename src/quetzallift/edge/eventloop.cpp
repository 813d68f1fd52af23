#include "quetzallift/edge/eventloop.h"

#include "quetzallift/core/reduce.h"
#include "quetzallift/edge/acetime.h"

#include <ace/Dev_Poll_Reactor.h>
#include <ace/Recursive_Thread_Mutex.h>
#include <ace/Timer_Heap.h>

#include <unordered_map>
#include <utility>

namespace Quetzallift
{
// Calls the callback of a reactor timer that expires. The timer's argument is the key of the callback.
class EventLoop::Timers : public ACE_Event_Handler
{
public:
    const void *add(std::function<void()> callback)
    {
        m_callbacks.emplace(++m_lastKey, std::move(callback));
        return reinterpret_cast<const void *>(m_lastKey);
    }

    int handle_timeout(const ACE_Time_Value &, const void *argument) override
    {
        auto callback = m_callbacks.extract(reinterpret_cast<std::uintptr_t>(argument));
        callback.mapped()();
        return 0;
    }

private:
    std::unordered_map<std::uintptr_t, std::function<void()>> m_callbacks;
    std::uintptr_t m_lastKey = 0;
};

// Uses the steady clock: ACE's timers use the system time by default, which may jump by seconds.
class EventLoop::TimerQueue : public ACE_Timer_Heap_Variable_Time_Source
{
public:
    TimerQueue()
    {
        set_time_policy(ACE_FPointer_Time_Policy(&TimerQueue::steadyTime));
    }

private:
    static ACE_Time_Value steadyTime()
    {
        return toAceTime(Clock::now().time_since_epoch());
    }
};

namespace
{
// Makes a reactor that does not change the signal mask: no signal handler runs on these threads, and blocking signals
// around each event costs two system calls.
std::unique_ptr<ACE_Dev_Poll_Reactor> makeReactor(ACE_Timer_Queue &timers)
{
    constexpr int KeepSignalMask = 0;
    return std::make_unique<ACE_Dev_Poll_Reactor>(nullptr, &timers, 0, nullptr, KeepSignalMask);
}
}

EventLoop::EventLoop()
    : m_timerQueue(std::make_unique<TimerQueue>())
    , m_reactor(std::make_unique<ACE_Reactor>(makeReactor(*m_timerQueue).release(), true))
    , m_timers(std::make_unique<Timers>())
    , m_mailbox([this](EventBody event) {
        dispatch(std::move(event));
    })
{
    m_reactor->register_handler(&m_mailbox, ACE_Event_Handler::READ_MASK);
    // Restarts a wait that a signal interrupts, as when the process was paused; without this the loop would end.
    constexpr int Continue = 1;
    m_reactor->restart(Continue);
}

EventLoop::~EventLoop()
{
    m_reactor->remove_handler(&m_mailbox, ACE_Event_Handler::READ_MASK | ACE_Event_Handler::DONT_CALL);
    m_reactor->cancel_timer(m_timers.get());
}

State &EventLoop::state()
{
    return m_state;
}

const State &EventLoop::state() const
{
    return m_state;
}

ACE_Reactor &EventLoop::reactor()
{
    return *m_reactor;
}

void EventLoop::setEffectHandler(EffectHandler handler)
{
    m_effectHandler = std::move(handler);
}

void EventLoop::dispatch(EventBody event)
{
    m_pending.push_back(std::move(event));
    if (m_applying) {
        return;
    }
    // Also ends the work when an exception leaves apply(); otherwise later events would be queued forever.
    struct Applying {
        bool &flag;

        explicit Applying(bool &applying)
            : flag(applying)
        {
            flag = true;
        }
        ~Applying()
        {
            flag = false;
        }
        Applying(const Applying &) = delete;
        Applying &operator=(const Applying &) = delete;
    };
    const Applying applying(m_applying);
    while (!m_pending.empty()) {
        EventBody next = std::move(m_pending.front());
        m_pending.pop_front();
        apply(std::move(next));
    }
}

void EventLoop::apply(EventBody event)
{
    const Effects effects = reduce(m_state, Event{Clock::now(), std::move(event)});
    for (const Effect &effect : effects) {
        execute(effect);
    }
}

void EventLoop::execute(const Effect &effect)
{
    if (const auto *timer = std::get_if<StartTimer>(&effect)) {
        callAt(timer->at, [this, key = timer->timer] {
            dispatch(TimerFired{key});
        });
        return;
    }
    m_effectHandler(effect);
}

void EventLoop::post(EventBody event)
{
    m_mailbox.post(std::move(event));
}

void EventLoop::callAt(TimePoint at, std::function<void()> callback)
{
    const Duration wait = std::max(at - Clock::now(), Duration::zero());
    m_reactor->schedule_timer(m_timers.get(), m_timers->add(std::move(callback)), toAceTime(wait));
}

void EventLoop::run()
{
    m_reactor->run_reactor_event_loop();
}

void EventLoop::stop()
{
    m_reactor->end_reactor_event_loop();
}
}
