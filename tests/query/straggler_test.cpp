#include "tests/query/simulationfixture.h"

#include <criterion/criterion.h>

#include <set>
#include <string>

using namespace Quetzallift;
using namespace std::chrono_literals;

namespace
{
// Replies after 5 ms, except for one in the given number of attempts, which takes 80 ms.
std::function<Outcome(const SendSubRequest &)> oneIn(std::uint64_t number)
{
    return [number](const SendSubRequest &send) {
        return Outcome{OutcomeKind::Ok, send.attempt.value % number == 0 ? 80ms : 5ms};
    };
}
}

// Guards against a query that waits for a straggler although another replica would reply, and against an attempt that is
// not cancelled after the other one replied.
Test(straggler, isHedgedAndTheLoserCancelled)
{
    SimulationFixture fixture(74);
    fixture.run(1);
    fixture.simulation.outcome = oneIn(100);
    for (std::uint64_t query = 2; query < 60; ++query) {
        const TimePoint start = fixture.simulation.now();
        cr_assert(fixture.run(query).status == AnswerStatus::Whole);
        cr_assert_lt((fixture.simulation.answers.at({query}).at(0).at - start).count(), Duration(40ms).count());
    }
    cr_assert_gt(fixture.counts[Metric::Hedges], 30.0);
    cr_assert(fixture.simulation.state.query.attempts.empty());
}

// Guards against hedges that add unbounded load when many replies are slow at the same time.
Test(straggler, hedgesStayWithinTheBudget)
{
    SimulationFixture fixture(20, 3);
    fixture.run(1);
    fixture.simulation.outcome = oneIn(2);
    for (std::uint64_t query = 2; query < 200; ++query) {
        fixture.run(query);
    }
    cr_assert_leq(fixture.counts[Metric::Hedges], 0.05 * fixture.counts[Metric::SubRequests] + BackEndView::HedgeBurst);
    cr_assert_leq(fixture.counts[Metric::Retries], 0.1 * fixture.counts[Metric::SubRequests] + BackEndView::RetryBurst);
}

// Guards against retries that multiply the load of a failing back end.
Test(straggler, retriesStayWithinTheBudget)
{
    SimulationFixture fixture(20, 3);
    std::set<std::string> sent;
    fixture.simulation.outcome = [&sent](const SendSubRequest &send) {
        sent.insert(send.request.requestId);
        return Outcome{OutcomeKind::Reset, 1ms};
    };
    for (std::uint64_t query = 1; query < 100; ++query) {
        // Closed connections show that a searcher is leaving, so that no sub-request of later queries is sent.
        const Execution execution = fixture.run(query).execution;
        const bool wasSent = sent.contains(fixture.request(query).requestId);
        cr_assert(execution == (wasSent ? Execution::MayHaveRun : Execution::NotRun));
    }
    cr_assert_leq(fixture.counts[Metric::Retries], 0.1 * fixture.counts[Metric::SubRequests] + BackEndView::RetryBurst);
}

// Guards against one timer for each sub-request, whose cost grows with the number of shards.
Test(straggler, oneTimerChecksAllShards)
{
    SimulationFixture fixture(74);
    int timers = 0;
    fixture.simulation.observe = [&timers](const Event &, const Effects &effects) {
        for (const Effect &effect : effects) {
            timers += std::holds_alternative<StartTimer>(effect) ? 1 : 0;
        }
    };
    fixture.run(1);
    cr_assert_leq(timers, 3);
}

// Guards against hedges that are sent although the hook disables them.
Test(straggler, hookDisablesHedges)
{
    SimulationFixture fixture(74);
    fixture.simulation.state.hooks.hedgeDelay = [](const LatencyEstimate &, const BackEndPolicy &) {
        return std::optional<Duration>();
    };
    fixture.simulation.outcome = oneIn(50);
    cr_assert(fixture.run(1).status == AnswerStatus::Whole);
    cr_assert_eq(fixture.counts[Metric::Hedges], 0.0);
}
