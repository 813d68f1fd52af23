#include "tests/query/simulationfixture.h"

#include <criterion/criterion.h>

using namespace Quetzallift;
using namespace std::chrono_literals;

namespace
{
// Returns the given result for every claim after the given delay.
std::function<ClaimSettled(const RequestClaim &, Duration &)> settleWith(ClaimResult result, Duration after)
{
    return [result, after](const RequestClaim &request, Duration &delay) {
        delay = after;
        return ClaimSettled{request.query, result, "recorded", "detail"};
    };
}
}

// Guards against a request that runs after its caller received NotRun, and against a claim without a recorded
// outcome.
Test(claim, grantAfterTheAnswerRunsNothingAndIsRecorded)
{
    SimulationFixture fixture(2);
    fixture.simulation.settle = settleWith(ClaimResult::Granted, 600ms);
    fixture.query(1, false);
    fixture.simulation.after(1ms, EventBody{StopRequested{}});
    fixture.simulation.run();
    cr_assert(fixture.answer(1).execution == Execution::NotRun);
    cr_assert_eq(fixture.sent.size(), 0U);
    cr_assert_eq(fixture.recorded.size(), 1U);
    cr_assert(fixture.recorded.at(0).answer.execution == Execution::NotRun);
    cr_assert_eq(fixture.stopReports, 1);
}

// Guards against a second execution by retry, hedge, restart or a duplicate claim result, and against a lost outcome when
// the caller disconnects and the deadline ends the request.
Test(claim, claimedRequestIsSentOnceAndRecorded)
{
    for (const OutcomeKind kind : {OutcomeKind::Silent, OutcomeKind::Reset, OutcomeKind::Refuse, OutcomeKind::Shed, OutcomeKind::Truncated}) {
        SimulationFixture fixture(2, 2, DeadlinePreference::Coverage);
        fixture.simulation.outcome = [kind](const SendSubRequest &send) {
            return send.request.shard.value == 0 ? Outcome{kind, 5ms} : Outcome{};
        };
        fixture.query(1, false);
        fixture.simulation.after(1ms, EventBody{QueryAbandoned{{1}}});
        fixture.simulation.after(3ms, EventBody{ClaimSettled{{1}, ClaimResult::Granted, {}, {}}});
        fixture.simulation.run();
        cr_assert_eq(fixture.sent.size(), 2U);
        cr_assert_eq(fixture.recorded.size(), 1U);
        cr_assert_eq(fixture.recorded.at(0).answer.missing.size(), 1U);
        cr_assert(fixture.recorded.at(0).answer.execution == Execution::MayHaveRun);
    }
}

// Guards against execution without a granted claim, and against an answer other than the recorded one.
Test(claim, onlyAGrantedClaimIsExecuted)
{
    for (const ClaimResult result : {ClaimResult::Finished, ClaimResult::InDoubt, ClaimResult::Mismatch, ClaimResult::NotClaimed}) {
        SimulationFixture fixture(2);
        fixture.simulation.settle = settleWith(result, 2ms);
        fixture.run(1, false);
        cr_assert_eq(fixture.sent.size(), 0U);
        cr_assert_eq(fixture.recorded.size(), 0U);
        cr_assert_eq(fixture.simulation.answers.at({1}).at(0).recorded, result == ClaimResult::Finished);
    }
}
