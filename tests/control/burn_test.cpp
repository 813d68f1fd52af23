#include "quetzallift/core/event.h"
#include "quetzallift/core/reduce.h"
#include "quetzallift/core/state.h"

#include <criterion/criterion.h>

using namespace Quetzallift;

namespace
{
const ServiceKey Guide{"guide-app", "guide"};

// The platform's object burn/e1.
struct StoredBurn {
    std::uint64_t version = 0;
    BurnRecord record;
};

// The control state of host e1, whose platform calls read and write the given object.
class BurnFixture
{
public:
    BurnFixture(std::uint64_t run, StoredBurn &stored)
        : m_stored(stored)
    {
        state.control.active = true;
        state.control.self.name = "e1";
        state.control.burn.record.run = std::to_string(run);
        state.hooks.wallNow = [] {
            return WallTime(std::chrono::hours(480000));
        };
    }

    void count(std::uint64_t answers)
    {
        ServiceCounts counts;
        counts.answers = answers;
        apply(ServiceReported{{{Guide, counts}}});
    }

    // Runs one write period; every call reaches the platform, but the answers of writes may be lost.
    void sync(bool loseWriteAnswers = false)
    {
        Effects effects = apply(TimerFired{{TimerKind::BurnWrite, 0}});
        while (!effects.empty()) {
            effects = answer(effects, loseWriteAnswers);
            loseWriteAnswers = false;
        }
    }

    State state;

private:
    Effects apply(EventBody body)
    {
        return reduce(state, Event{TimePoint(), std::move(body)});
    }

    Effects answer(const Effects &effects, bool loseWriteAnswers)
    {
        Effects next;
        for (const Effect &effect : effects) {
            const auto *call = std::get_if<CallPlatform>(&effect);
            if (call != nullptr) {
                const Effects more = apply(PlatformReplied{call->call, reply(call->request, loseWriteAnswers)});
                next.insert(next.end(), more.begin(), more.end());
            }
        }
        return next;
    }

    PlatformReply reply(const PlatformRequest &request, bool loseWriteAnswers)
    {
        if (request.verb == PlatformVerb::Read) {
            if (m_stored.version == 0) {
                return {PlatformOutcome::NotApplied, 0, {}, {}};
            }
            return {PlatformOutcome::Applied, m_stored.version, m_stored.record, {}};
        }
        const std::uint64_t expected = request.verb == PlatformVerb::Create ? 0 : request.version;
        if (expected != m_stored.version) {
            return {PlatformOutcome::NotApplied, 0, {}, {}};
        }
        m_stored.record = std::get<BurnRecord>(request.value);
        ++m_stored.version;
        return {loseWriteAnswers ? PlatformOutcome::Unknown : PlatformOutcome::Applied, m_stored.version, {}, {}};
    }

    StoredBurn &m_stored;
};

std::uint64_t answersIn(const StoredBurn &stored)
{
    std::uint64_t answers = 0;
    for (const auto &[window, table] : stored.record.shortWindows) {
        answers += table.at(Guide).answers;
    }
    return answers;
}
}

// Guards against counting twice when the answer of a write is lost.
Test(burn, lostWriteAnswerCountsOnce)
{
    StoredBurn stored;
    BurnFixture host(1, stored);
    host.count(5);
    host.sync(true);
    host.count(2);
    host.sync();
    cr_assert_eq(answersIn(stored), 7U);
}

// Guards against losing counts when a host is replaced under the same name, and against the replaced process overwriting
// the counts of its successor.
Test(burn, replacedHostKeepsEarlierCountsAndOldProcessStops)
{
    StoredBurn stored;
    BurnFixture first(1, stored);
    first.count(5);
    first.sync();
    BurnFixture second(2, stored);
    second.count(3);
    second.sync();
    cr_assert_eq(answersIn(stored), 8U);
    first.count(100);
    first.sync();
    cr_assert_eq(answersIn(stored), 8U);
    first.sync();
    cr_assert(first.state.control.burn.superseded);
    cr_assert_eq(answersIn(stored), 8U);
}
