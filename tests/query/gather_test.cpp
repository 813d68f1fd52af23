#include "tests/query/queryfixture.h"

#include <criterion/criterion.h>

using namespace Quetzallift;

// Guards against an answer that is called whole although a shard is missing, and against one that is not when all came.
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

// Guards against rows of another request or shard in an answer.
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

// Guards against a lost replica that costs coverage although another one has the data.
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
