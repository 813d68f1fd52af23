#include "tests/routing/routingfixture.h"

#include <criterion/criterion.h>

using namespace Quetzallift;

namespace
{
using Millis = std::chrono::milliseconds;

RoutingFixture oneSearcher()
{
    RoutingFixture fixture;
    fixture.addRoute("/one/", "desk", true);
    fixture.addSearcher("x", "desk", "a");
    fixture.publish();
    return fixture;
}

void replyWith(RoutingFixture &fixture, AttemptId attempt, ForwardReplyKind kind, const SearcherStatement &statement)
{
    ForwardReply reply;
    reply.kind = kind;
    reply.status = kind == ForwardReplyKind::Success ? 200 : 503;
    reply.signature = "sig";
    reply.statement = statement;
    fixture.apply(ForwardReplied{attempt, reply});
}

SearcherStatement refusal(Millis time)
{
    SearcherStatement statement;
    statement.refusesFor = time;
    return statement;
}

SearcherStatement departure()
{
    SearcherStatement statement;
    statement.leaving = true;
    return statement;
}
}

// Guards against requests to a searcher that said in an answer that it is leaving, while the list still calls it ready, and
// against a departure that touches its next run.
Test(statements, leavingSearcherGetsNoRequestsUntilItRestarts)
{
    RoutingFixture fixture = oneSearcher();
    fixture.send("/one/");
    replyWith(fixture, fixture.last<ForwardRequest>().at(0).attempt, ForwardReplyKind::Success, departure());
    cr_assert_eq(fixture.last<CloseIdleConnections>().size(), 1U);
    fixture.addSearcher("other", "web", "a");
    fixture.publish();
    fixture.send("/one/");
    cr_assert(fixture.last<ForwardRequest>().empty());
    cr_assert(fixture.last<AnswerRequest>().at(0).answer.kind == ClientAnswerKind::Refused);
    fixture.searchers->entries["x"].startedAtMs = 2;
    fixture.publish();
    fixture.send("/one/");
    cr_assert_eq(fixture.last<ForwardRequest>().size(), 1U);
}

// Guards against requests to a searcher that said that it is leaving, once its entry is removed and comes back, as after an outage of the
// metadata store.
Test(statements, departureOutlivesTheEntryOfTheSearcher)
{
    RoutingFixture fixture = oneSearcher();
    const SearcherEntry entry = fixture.searchers->entries.at("x");
    fixture.send("/one/");
    replyWith(fixture, fixture.last<ForwardRequest>().at(0).attempt, ForwardReplyKind::Success, departure());
    fixture.searchers->entries.erase("x");
    fixture.publish();
    fixture.advance(Millis(2000));
    fixture.searchers->entries["x"] = entry;
    fixture.publish();
    fixture.send("/one/");
    cr_assert(fixture.last<ForwardRequest>().empty());
    fixture.searchers->entries["x"].startedAtMs = 2;
    fixture.publish();
    fixture.send("/one/");
    cr_assert_eq(fixture.last<ForwardRequest>().size(), 1U);
}

// Guards against a departure that is missed since the answer came after its request had been answered.
Test(statements, lateReplyOfALeavingSearcherCounts)
{
    RoutingFixture fixture = oneSearcher();
    const QueryId request = fixture.send("/one/");
    const AttemptId attempt = fixture.last<ForwardRequest>().at(0).attempt;
    fixture.apply(RequestAbandoned{request});
    replyWith(fixture, attempt, ForwardReplyKind::Failure, departure());
    fixture.send("/one/");
    cr_assert(fixture.last<ForwardRequest>().empty());
}

// Guards against requests to a searcher that refuses them for some time, and against callers that wait for it or all return at
// the same moment.
Test(statements, refusingSearcherGetsNothingUntilItsTimeEnds)
{
    RoutingFixture fixture = oneSearcher();
    fixture.send("/one/");
    replyWith(fixture, fixture.last<ForwardRequest>().at(0).attempt, ForwardReplyKind::NotExecuted, refusal(Millis(5000)));
    std::uint64_t draw = 0;
    fixture.state.hooks.random = [&draw] {
        return draw += 100;
    };
    std::vector<Duration> returns;
    for (int number = 0; number < 9; ++number) {
        fixture.advance(Millis(500));
        fixture.send("/one/");
        cr_assert(fixture.last<ForwardRequest>().empty());
        const ClientAnswer answer = fixture.last<AnswerRequest>().at(0).answer;
        cr_assert(answer.kind == ClientAnswerKind::Refused);
        returns.push_back(fixture.now.time_since_epoch() + answer.retryAfter);
    }
    const TimePoint end = fixture.now + Millis(500);
    for (const Duration at : returns) {
        cr_assert_geq(at.count(), end.time_since_epoch().count());
    }
    std::sort(returns.begin(), returns.end());
    cr_assert(std::adjacent_find(returns.begin(), returns.end()) == returns.end());
    fixture.advance(Millis(500));
    fixture.send("/one/");
    cr_assert_eq(fixture.last<ForwardRequest>().size(), 1U);
}

// Guards against requests to a searcher before the time that it stated, because another of its replies stated a shorter one.
Test(statements, shorterRefusalDoesNotEndALongerOne)
{
    RoutingFixture fixture = oneSearcher();
    fixture.send("/one/");
    fixture.send("/one/");
    const AttemptId first{1};
    const AttemptId second{2};
    replyWith(fixture, first, ForwardReplyKind::NotExecuted, refusal(Millis(5000)));
    replyWith(fixture, second, ForwardReplyKind::NotExecuted, refusal(Millis(500)));
    fixture.advance(Millis(2000));
    fixture.send("/one/");
    cr_assert(fixture.last<ForwardRequest>().empty());
    fixture.advance(Millis(3000));
    fixture.send("/one/");
    cr_assert_eq(fixture.last<ForwardRequest>().size(), 1U);
}

// Guards against a searcher that is met by everything that was held back once its refusal ends.
Test(statements, refusingSearcherGetsOneRequestFirst)
{
    RoutingFixture fixture = oneSearcher();
    fixture.send("/one/");
    replyWith(fixture, fixture.last<ForwardRequest>().at(0).attempt, ForwardReplyKind::NotExecuted, refusal(Millis(10)));
    fixture.advance(Millis(10));
    std::vector<AttemptId> sent;
    for (int number = 0; number < 5; ++number) {
        fixture.send("/one/");
        for (const ForwardRequest &request : fixture.last<ForwardRequest>()) {
            sent.push_back(request.attempt);
        }
    }
    cr_assert_eq(sent.size(), 1U);
    replyWith(fixture, sent.at(0), ForwardReplyKind::Success, {});
    cr_assert_gt(fixture.last<ForwardRequest>().size(), 1U);
}

// Guards against a service that is avoided as unhealthy after a refusal, and against a refused part that is given up although
// another searcher takes it.
Test(statements, refusalIsNoFailureOfTheSearcher)
{
    RoutingFixture fixture = oneSearcher();
    fixture.addSearcher("y", "desk", "a");
    fixture.publish();
    fixture.send("/one/");
    const ForwardRequest first = fixture.last<ForwardRequest>().at(0);
    replyWith(fixture, first.attempt, ForwardReplyKind::NotExecuted, refusal(Millis(1000)));
    cr_assert(fixture.last<ForwardRequest>().at(0).searcher != first.searcher);
    const SearcherLoad &searcher = *fixture.state.routing.searchers.at(first.searcher);
    cr_assert_eq(searcher.consecutiveFailures, 0U);
    cr_assert_eq(searcher.consecutiveEjections, 0U);
}
