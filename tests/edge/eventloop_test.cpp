#include "quetzallift/edge/eventloop.h"

#include <criterion/criterion.h>

#include <ace/Timer_Queue.h>

#include <pthread.h>

#include <csignal>
#include <cstdlib>
#include <stdexcept>
#include <thread>

using namespace Quetzallift;

namespace
{
void ignoreSignal(int)
{ }
}

// Guards against a loop that ends, and with it the process, because a signal interrupts its wait. Pausing and continuing a
// process interrupts the wait in this way.
Test(eventloop, continuesAfterInterruptedWait)
{
    struct sigaction action = {};
    action.sa_handler = &ignoreSignal;
    sigaction(SIGUSR2, &action, nullptr);
    EventLoop loop;
    bool reached = false;
    const pthread_t waiting = pthread_self();
    std::thread interrupter([waiting] {
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        pthread_kill(waiting, SIGUSR2);
    });
    loop.callAt(Clock::now() + std::chrono::milliseconds(200), [&loop, &reached] {
        reached = true;
        loop.stop();
    });
    loop.run();
    interrupter.join();
    cr_assert(reached);
}

// Guards against timers that use the system time: a jump of the clock would fire deadlines early or late by the same time.
Test(eventloop, timersUseTheSteadyClock)
{
    EventLoop loop;
    const ACE_Time_Value timers = loop.reactor().timer_queue()->gettimeofday();
    const auto steady = std::chrono::duration_cast<std::chrono::seconds>(Clock::now().time_since_epoch());
    // The system time differs from the steady clock by decades.
    cr_assert_lt(std::abs(timers.sec() - steady.count()), std::chrono::seconds(std::chrono::hours(24)).count());
}

// Guards against a thread that stops deciding without a sign after an exception that its caller has handled.
Test(eventloop, appliesEventsAfterAnException)
{
    EventLoop loop;
    int executed = 0;
    loop.setEffectHandler([&executed](const Effect &) {
        if (++executed == 1) {
            throw std::runtime_error("an effect that cannot be executed");
        }
    });
    loop.state().control.active = true;
    cr_assert_throw(loop.dispatch(StopRequested{}), std::runtime_error);
    const int before = executed;
    loop.dispatch(StopRequested{});
    cr_assert_gt(executed, before);
}
