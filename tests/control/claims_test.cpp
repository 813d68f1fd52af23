#include "quetzallift/core/event.h"
#include "quetzallift/core/reduce.h"
#include "quetzallift/core/state.h"

#include <optional>

#include <criterion/criterion.h>

using namespace Quetzallift;

namespace
{
// The control state of one host, whose platform calls are answered by the test.
struct Host {
    State state;
    TimePoint now = TimePoint() + std::chrono::hours(1);
    std::optional<CallPlatform> call;
    std::optional<ClaimSettled> settled;
    std::optional<StartTimer> timer;

    explicit Host(const std::string &name, std::uint64_t seed)
    {
        state.control.self.name = name;
        state.hooks.random = [seed]() mutable {
            return seed += 7;
        };
    }

    void apply(EventBody event)
    {
        call.reset();
        for (const Effect &effect : reduce(state, Event{now, std::move(event)})) {
            if (const auto *made = std::get_if<CallPlatform>(&effect)) {
                call = *made;
            } else if (const auto *settle = std::get_if<SettleClaim>(&effect)) {
                settled = settle->settled;
            } else if (const auto *start = std::get_if<StartTimer>(&effect)) {
                timer = *start;
            }
        }
    }

    void request()
    {
        settled.reset();
        apply(ClaimRequested{0, QueryId{1}, "claim/c/r", "print", std::chrono::seconds(1)});
    }

    void answer(PlatformOutcome outcome, std::uint64_t version = 0, PlatformValue value = {})
    {
        apply(PlatformReplied{call->call, {outcome, version, std::move(value), "lost"}});
    }

    void fireTimer()
    {
        now = std::max(now, timer->at);
        apply(TimerFired{timer->timer});
    }

    ClaimRecord written() const
    {
        return std::get<ClaimRecord>(call->request.value);
    }
};
}

// Guards against a request that is refused or run twice because the answer to the creation of its claim was lost.
Test(claims, lostAnswerIsSettledByTheToken)
{
    Host host("kingston-a-1", 1);
    host.request();
    const ClaimRecord record = host.written();
    host.answer(PlatformOutcome::Unknown);
    cr_assert(host.call->request.verb == PlatformVerb::Read);
    host.answer(PlatformOutcome::Unknown);
    cr_assert_not(host.settled.has_value());
    host.fireTimer();
    host.answer(PlatformOutcome::Applied, 4, record);
    cr_assert(host.settled->result == ClaimResult::Granted);
}

// Guards against a host that takes the claim of another host for its own.
Test(claims, claimOfAnotherHostIsInDoubt)
{
    Host first("kingston-a-1", 1);
    Host second("ocho-a-1", 2);
    first.request();
    const ClaimRecord record = first.written();
    second.request();
    second.answer(PlatformOutcome::NotApplied);
    second.answer(PlatformOutcome::Applied, 4, record);
    cr_assert(second.settled->result == ClaimResult::InDoubt);
}

// Guards against a paused host that sends a request after its caller received the answer that it did not run.
Test(claims, claimAfterTheDeadlineIsReleasedAndTakenOver)
{
    Host paused("kingston-a-1", 1);
    paused.request();
    paused.now += std::chrono::minutes(1);
    paused.answer(PlatformOutcome::Applied, 4);
    cr_assert(paused.settled->result == ClaimResult::NotClaimed);
    cr_assert(paused.written().released);
    const ClaimRecord released = paused.written();
    Host other("ocho-a-1", 2);
    other.request();
    other.answer(PlatformOutcome::NotApplied);
    other.answer(PlatformOutcome::Applied, 5, released);
    cr_assert(other.call->request.verb == PlatformVerb::Update);
    cr_assert_eq(other.call->request.version, 5U);
    other.answer(PlatformOutcome::Applied, 6);
    cr_assert(other.settled->result == ClaimResult::Granted);
}

// Guards against a query that waits for the platform beyond its deadline, and against claims made during an outage.
Test(claims, outageRefusesWithinTheDeadline)
{
    Host host("kingston-a-1", 1);
    const TimePoint deadline = host.now + std::chrono::seconds(1);
    host.request();
    while (!host.settled) {
        if (host.call) {
            host.answer(PlatformOutcome::Unknown);
        } else {
            host.fireTimer();
        }
    }
    cr_assert(host.settled->result == ClaimResult::NotClaimed);
    cr_assert(host.now <= deadline);
    host.request();
    cr_assert(host.settled->result == ClaimResult::NotClaimed);
    cr_assert_not(host.call.has_value());
}

// Guards against losing an outcome because its first write failed, or because the answer of a successful write was lost.
Test(claims, outcomeIsWrittenUntilItIsRecorded)
{
    Host host("kingston-a-1", 1);
    host.request();
    host.answer(PlatformOutcome::Applied, 4);
    host.apply(OutcomeRecorded{"claim/c/r", "answer"});
    ClaimRecord record = host.written();
    cr_assert(record.finished);
    host.answer(PlatformOutcome::Unknown);
    host.fireTimer();
    cr_assert_eq(host.call->request.version, 4U);
    host.answer(PlatformOutcome::NotApplied);
    host.answer(PlatformOutcome::Applied, 5, record);
    cr_assert(host.state.control.outcomes.empty());
}
