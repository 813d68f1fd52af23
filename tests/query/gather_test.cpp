#include "tests/query/queryfixture.h"
#include "tests/query/simulationfixture.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace Quetzallift;

// Guards against the status Whole if a shard is missing, and against another status if every shard replied.
Test(gather, answerIsWholeOnceEveryShardReplied)
{
    QueryFixture fixture(3, 2);
    fixture.arrive(QueryId{1});
    cr_assert_eq(fixture.sent().size(), 3U);
    fixture.replyOk(fixture.sent().at(0));
    fixture.replyOk(fixture.sent().at(1));
    cr_assert_eq(fixture.answers().size(), 0U);
    fixture.replyOk(fixture.sent().at(2));
    cr_assert_eq(fixture.answers().size(), 1U);
    const QueryAnswer &answer = fixture.answers().at(0).answer;
    cr_assert(answer.status == AnswerStatus::Whole);
    cr_assert_eq(answer.coverage.shardsCovered, 3U);
    cr_assert_eq(answer.rows.size(), 3U);
}

// Guards against an answer with rows of another request or shard.
Test(gather, crossedReplyIsDropped)
{
    QueryFixture fixture(2, 1);
    fixture.arrive(QueryId{1});
    SubReply crossed = fixture.okReply(fixture.sent().at(1));
    fixture.apply(SubReplyArrived{fixture.sent().at(0).attempt, crossed});
    fixture.replyOk(fixture.sent().at(1));
    cr_assert_eq(fixture.answers().size(), 1U);
    const QueryAnswer &answer = fixture.answers().at(0).answer;
    cr_assert(answer.status == AnswerStatus::Failed);
    cr_assert_eq(answer.missing.size(), 1U);
    cr_assert_eq(answer.missing.at(0).shard.value, 0U);
}

// Guards against lost coverage when a replica fails although another one has the data.
Test(gather, failedSubRequestIsRetriedOnAnotherReplica)
{
    QueryFixture fixture(1, 2);
    fixture.arrive(QueryId{1});
    const SendSubRequest first = fixture.sent().at(0);
    fixture.apply(SubRequestFailed{first.attempt, {Step::Connect, first.searcher, FailureKind::ConnectionRefused, {}}, false});
    cr_assert_eq(fixture.sent().size(), 2U);
    cr_assert_neq(fixture.sent().at(1).searcher, first.searcher);
    fixture.replyOk(fixture.sent().at(1));
    cr_assert(fixture.answers().at(0).answer.status == AnswerStatus::Whole);
}

// Guards against a truncated reply that counts as coverage or that is not retried on another replica.
Test(gather, truncatedReplyIsRetriedAndOtherwiseListedAsMissing)
{
    SimulationFixture fixture(2);
    fixture.simulation.outcome = [](const SendSubRequest &send) {
        return send.searcher == "s0r0" ? Outcome{OutcomeKind::Truncated} : Outcome{};
    };
    cr_assert(fixture.run(1).status == AnswerStatus::Whole);
    fixture.simulation.outcome = [](const SendSubRequest &send) {
        return send.request.shard.value == 0 ? Outcome{OutcomeKind::Truncated} : Outcome{};
    };
    const QueryAnswer &answer = fixture.run(2, true, 0.5);
    cr_assert(answer.status == AnswerStatus::Partial);
    cr_assert_eq(answer.coverage.weightCovered, 2U);
    cr_assert_eq(answer.rows.size(), 3U);
    cr_assert(answer.missing.at(0).failure.kind == FailureKind::Truncated);
}

// Guards against a duplicate reply that counts twice in coverage or rows.
Test(gather, duplicateRepliesCountOnce)
{
    SimulationFixture fixture(3);
    fixture.simulation.outcome = [](const SendSubRequest &) {
        return Outcome{OutcomeKind::Doubled};
    };
    const QueryAnswer &answer = fixture.run(1);
    cr_assert_eq(answer.coverage.shardsCovered, 3U);
    cr_assert_eq(answer.rows.size(), 6U);
    cr_assert_eq(fixture.labels["doubled"], 3.0);
}

// Guards against NotRun for a request that may have reached a searcher, and against MayHaveRun for one that cannot have.
Test(gather, notRunIsReportedOnlyIfNothingWasSent)
{
    for (const OutcomeKind kind : {OutcomeKind::Refuse, OutcomeKind::Reset, OutcomeKind::Silent, OutcomeKind::Crossed}) {
        SimulationFixture fixture(2);
        fixture.simulation.outcome = [kind](const SendSubRequest &) {
            return Outcome{kind, std::chrono::milliseconds(1)};
        };
        cr_assert(fixture.run(1).execution == (kind == OutcomeKind::Refuse ? Execution::NotRun : Execution::MayHaveRun));
    }
}

// Guards against a latency-first answer after the target or below the minimum coverage, and against a coverage-first one
// before the deadline.
Test(gather, preferenceDecidesBetweenLatencyAndCoverageAtTheTarget)
{
    for (const DeadlinePreference preference : {DeadlinePreference::Latency, DeadlinePreference::Coverage}) {
        SimulationFixture fixture(4, 2, preference);
        fixture.simulation.outcome = [](const SendSubRequest &send) {
            return send.request.shard.value == 0 ? Outcome{OutcomeKind::Silent} : Outcome{};
        };
        const TimePoint start = fixture.simulation.now();
        cr_assert(fixture.run(1, true, 0.5).status == AnswerStatus::Partial);
        const Duration took = fixture.simulation.answers.at({1}).at(0).at - start;
        const Duration limit = preference == DeadlinePreference::Latency ? std::chrono::milliseconds(95) : std::chrono::milliseconds(500);
        cr_assert_lt(took.count(), limit.count());
        cr_assert_gt(took.count(), (limit * 9 / 10).count());
        cr_assert(fixture.run(2, true, 1.0).status == AnswerStatus::Failed);
    }
}

// Guards against a searcher that still processes a sub-request when its reply is of no use any more.
Test(gather, subRequestDeadlineIsBeforeTheAnswerIsSent)
{
    SimulationFixture fixture(1);
    fixture.run(1);
    cr_assert_lt(fixture.sent.at(0).request.deadline.time_since_epoch().count(),
                 (TimePoint(std::chrono::hours(1)) + SimulationFixture::request(1).deadline).time_since_epoch().count());
}

// Guards against an incomplete answer whose cause cannot be found in the log by its request id.
Test(gather, incompleteAnswerIsLoggedWithItsRequest)
{
    QueryFixture fixture(1, 1);
    fixture.arrive(QueryId{1});
    const SendSubRequest sent = fixture.sent().at(0);
    fixture.apply(SubRequestFailed{sent.attempt, {Step::Wait, sent.searcher, FailureKind::Timeout, {}}, true});
    const bool logged = std::any_of(fixture.effects().begin(), fixture.effects().end(), [&sent](const Effect &effect) {
        const auto *log = std::get_if<WriteLog>(&effect);
        return log != nullptr && log->record.request == sent.request.requestId && log->record.peer == sent.searcher;
    });
    cr_assert(logged);
}
