#include "quetzallift/control/callbudget.h"

#include <criterion/criterion.h>

using namespace Quetzallift;

// Guards against a fleet that exceeds the platform's read rate when all hosts call at the same time.
Test(callbudget, fleetStaysBelowThePlatformsRate)
{
    constexpr std::size_t Hosts = 500;
    constexpr auto Period = std::chrono::seconds(60);
    CallBudget budget;
    const TimePoint start = TimePoint() + std::chrono::hours(1);
    std::size_t calls = 0;
    for (TimePoint now = start; now < start + Period; now += std::chrono::milliseconds(10)) {
        calls += takeCall(budget, false, Hosts, now, Duration::zero()) == Duration::zero() ? 1 : 0;
    }
    // The first calls use the tokens that the bucket holds at the start.
    const std::size_t burst = 8;
    cr_assert_leq((calls - burst) * Hosts, 2000U * Period.count());
    cr_assert_gt(calls, burst);
}

// Guards against a call over the limit that takes a token although it is not sent, and so delays later calls.
Test(callbudget, refusedCallTakesNothing)
{
    CallBudget budget;
    const TimePoint now = TimePoint() + std::chrono::hours(1);
    while (takeCall(budget, true, 250, now, Duration::zero()) == Duration::zero()) { }
    const Duration wait = takeCall(budget, true, 250, now, Duration::zero());
    cr_assert_gt(wait.count(), 0);
    cr_assert_eq(takeCall(budget, true, 250, now, Duration::zero()).count(), wait.count());
}

// Guards against hosts of a large fleet that read a long list of searchers for seconds although the platform sustains more calls.
Test(callbudget, ratesOfThePlatformBoundTheCalls)
{
    constexpr std::size_t Hosts = 295;
    constexpr int Pages = 28;
    CallBudget budget;
    budget.fleetReadsPerSecond = 12000;
    const TimePoint start = TimePoint() + std::chrono::hours(1);
    TimePoint now = start;
    for (int page = 0; page < Pages; ++page) {
        now += takeCall(budget, false, Hosts, now, std::chrono::seconds(1));
    }
    cr_assert_lt((now - start).count(), Duration(std::chrono::milliseconds(600)).count());
}
