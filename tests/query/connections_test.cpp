#include "quetzallift/query/connections.h"
#include "tests/query/poolfixture.h"

#include <criterion/criterion.h>

using namespace Quetzallift;
using std::chrono::milliseconds;

// Guards against more connections to a searcher than this host's share.
Test(connections, shareIsNeverExceeded)
{
    PoolFixture fixture(1, 1);
    fixture.publishShares(3);
    fixture.arriveMany(1);
    fixture.warm("s0r0", 3, 100.0);
    fixture.arriveMany(9);
    cr_assert_eq(fixture.sent().size(), 3U);
    fixture.replyOk(fixture.sent().at(0));
    cr_assert_eq(fixture.sent().size(), 4U);
}

// Guards against threads whose allowances add up to more than the share, and against a thread that never gets a connection.
Test(connections, allowancesOfThreadsAddUpToAtMostTheShare)
{
    PoolFixture fixture(1, 1);
    for (const unsigned share : {1U, 2U, 3U, 4U, 7U, 25U}) {
        fixture.publishShares(share);
        std::map<unsigned, unsigned> turns;
        for (int step = 0; step < 300; ++step) {
            unsigned sum = 0;
            for (unsigned thread = 0; thread < 4; ++thread) {
                fixture.state().query.threadIndex = {thread, 4};
                const unsigned part = connectionAllowance(fixture.state().query, "s0r0", fixture.now()).connections;
                turns[thread] += part;
                sum += part;
            }
            cr_assert_leq(sum, share);
            fixture.advance(milliseconds(7));
        }
        for (unsigned thread = 0; thread < 4; ++thread) {
            cr_assert_gt(turns[thread], 0U);
        }
    }
}

// Guards against a connection that is still in use after the turn of another thread has begun.
Test(connections, rotatingConnectionEndsWithItsTurn)
{
    PoolFixture fixture(1, 1);
    fixture.publishShares(1);
    fixture.state().query.threadIndex = {0, 2};
    while (connectionAllowance(fixture.state().query, "s0r0", fixture.now()).connections == 0) {
        fixture.advance(milliseconds(10));
    }
    const ConnectionAllowance part = connectionAllowance(fixture.state().query, "s0r0", fixture.now());
    fixture.arriveMany(1);
    cr_assert(fixture.sent().at(0).closeAfter);
    cr_assert(fixture.sent().at(0).request.deadline <= part.until);
}

// Guards against connections that stay open above a lowered share, so that they exceed the searcher's limit together with
// those of the host that received the share.
Test(connections, connectionsAboveALoweredShareAreClosed)
{
    PoolFixture fixture(1, 1);
    fixture.publishShares(8);
    fixture.arriveMany(1);
    fixture.warm("s0r0", 8, 100.0);
    fixture.publishShares(1);
    fixture.arriveMany(2);
    cr_assert_eq(fixture.sent().size(), 1U);
    fixture.replyOk(fixture.sent().at(0));
    cr_assert(fixture.sent().at(1).closeAfter);
}

// Guards against a burst of connections to a searcher for which opening one is expensive.
Test(connections, oneConnectionIsOpenedAtATime)
{
    PoolFixture fixture(1, 1);
    fixture.bundle().backEnds["data"].searchers["s0r0"].connectionCost = milliseconds(5);
    fixture.publish();
    fixture.arriveMany(1);
    fixture.warm("s0r0", 1, 100.0);
    fixture.arriveMany(3);
    cr_assert_eq(fixture.sent().size(), 1U);
    fixture.advance(milliseconds(5));
    fixture.fireSearcherTimers();
    cr_assert_eq(fixture.sent().size(), 2U);
}

// Guards against a queued sub-request that is sent although its query has ended.
Test(connections, cancelledSubRequestLeavesTheQueue)
{
    PoolFixture fixture(1, 1);
    fixture.publishShares(1);
    fixture.arriveMany(3);
    fixture.apply(QueryAbandoned{{2}});
    fixture.replyOk(fixture.sent().at(0));
    cr_assert_eq(fixture.sent().size(), 2U);
    cr_assert_eq(fixture.state().query.searchers["s0r0"].queue.size(), 0U);
}

// Guards against sub-requests that are sent after the deadline of their query.
Test(connections, subRequestPastItsDeadlineIsNotSent)
{
    PoolFixture fixture(1, 1);
    fixture.publishShares(1);
    fixture.arriveMany(2);
    fixture.advance(milliseconds(500));
    fixture.replyOk(fixture.sent().at(0));
    cr_assert_eq(fixture.sent().size(), 1U);
    fixture.apply(TimerFired{{TimerKind::QueryDeadline, 2}});
    const QueryAnswer &answer = fixture.answers().back().answer;
    cr_assert(answer.execution == Execution::NotRun);
    cr_assert(answer.missing.at(0).failure.kind == FailureKind::NotSent);
}

// Guards against shedding that counts as an error, and against a window that does not shrink on shedding.
Test(connections, sheddingLowersTheWindowAndIsNoError)
{
    PoolFixture fixture(1, 1);
    fixture.arriveMany(1);
    fixture.warm("s0r0", 10, 10.0);
    fixture.advance(milliseconds(10));
    SubReply shed = fixture.okReply(fixture.sent().at(0));
    shed.status = SubReplyStatus::Shed;
    fixture.apply(SubReplyArrived{fixture.sent().at(0).attempt, shed});
    const SearcherView &view = fixture.state().query.searchers["s0r0"];
    cr_assert_lt(view.window.size, 10.0);
    cr_assert_eq(view.errors.samples, 0U);
    cr_assert_not(view.draining);
}

// Guards against two threads that are each within the whole share of a new epoch but exceed it together.
Test(connections, epochIsReportedOnceTheThreadIsWithinItsAllowance)
{
    PoolFixture fixture(1, 1);
    fixture.state().query.threadIndex = {0, 2};
    fixture.publishShares(8);
    fixture.arriveMany(1);
    fixture.warm("s0r0", 4, 100.0);
    fixture.arriveMany(3);
    cr_assert_eq(fixture.sentTo("s0r0"), 4U);
    RefPtr<ControlSnapshot> control(new ControlSnapshot(*fixture.state().query.control));
    control->connectionShares["s0r0"] = 4;
    control->sharesEpoch = 7;
    fixture.apply(ControlSnapshotPublished{control});
    cr_assert_eq(fixture.count<ReportSharesApplied>(), 0U);
    fixture.replyOk(fixture.sent().at(0));
    fixture.replyOk(fixture.sent().at(1));
    fixture.apply(TimerFired{{TimerKind::SharesCheck, 0}});
    cr_assert_eq(fixture.count<ReportSharesApplied>(), 1U);
}
