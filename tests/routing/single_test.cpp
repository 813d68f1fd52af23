#include "tests/routing/routingfixture.h"

#include <criterion/criterion.h>

using namespace Quetzallift;

namespace
{
RoutingFixture oneService(bool idempotent)
{
    RoutingFixture fixture;
    fixture.addRoute("/one/", "desk", idempotent);
    fixture.addSearcher("x", "desk", "a");
    fixture.addSearcher("y", "desk", "a");
    fixture.publish();
    return fixture;
}
}

// Guards against a host that answers 404 before it knows any route.
Test(single, withoutConfigurationIsRefused)
{
    RoutingFixture fixture;
    fixture.send("/one/");
    cr_assert(fixture.last<AnswerRequest>().at(0).answer.kind == ClientAnswerKind::Refused);
}

// Guards against a request that goes to the route of a shorter prefix.
Test(single, longestPrefixWins)
{
    RoutingFixture fixture = oneService(true);
    fixture.addRoute("/one/two/", "web", true);
    fixture.addSearcher("w", "web", "a");
    fixture.publish();
    fixture.send("/one/two/x?y=/one/");
    cr_assert(fixture.last<ForwardRequest>().at(0).searcher == "w");
    fixture.send("/other/");
    cr_assert(fixture.last<AnswerRequest>().at(0).answer.kind == ClientAnswerKind::NoRoute);
}

// Guards against a second run of a request that may run once, after a connection that closed without an answer.
Test(single, runsOnceIfItMayNotBeRepeated)
{
    RoutingFixture fixture = oneService(false);
    fixture.send("/one/");
    fixture.fail(fixture.last<ForwardRequest>().at(0).attempt, FailureKind::ConnectionReset, true);
    cr_assert(fixture.last<ForwardRequest>().empty());
    cr_assert(fixture.last<AnswerRequest>().at(0).answer.kind == ClientAnswerKind::Failed);
}

// Guards against a request that may run once being hedged because it is slow.
Test(single, isNotHedgedIfItMayNotBeRepeated)
{
    RoutingFixture fixture = oneService(false);
    fixture.send("/one/");
    fixture.advance(std::chrono::milliseconds(900));
    cr_assert(fixture.last<ForwardRequest>().empty());
}

// Guards against a lost request where the searcher said that it did not run it.
Test(single, notExecutedIsSentElsewhere)
{
    RoutingFixture fixture = oneService(false);
    fixture.send("/one/");
    const ForwardRequest first = fixture.last<ForwardRequest>().at(0);
    fixture.reply(first.attempt, ForwardReplyKind::NotExecuted);
    cr_assert(fixture.last<ForwardRequest>().at(0).searcher != first.searcher);
    fixture.reply(fixture.last<ForwardRequest>().at(0).attempt, ForwardReplyKind::NotExecuted);
    cr_assert(fixture.last<AnswerRequest>().at(0).answer.kind == ClientAnswerKind::Refused);
}

// Guards against a refusal, which promises that nothing ran, for a request that may have run.
Test(single, timeoutAfterSendIsNoRefusal)
{
    RoutingFixture fixture = oneService(false);
    fixture.send("/one/");
    fixture.advance(std::chrono::milliseconds(1000));
    cr_assert(fixture.last<AnswerRequest>().at(0).answer.kind == ClientAnswerKind::TimedOut);
}

// Guards against more searchers running a request than its route allows.
Test(single, attemptsStayWithinTheRoute)
{
    RoutingFixture fixture = oneService(true);
    fixture.addSearcher("z", "desk", "a");
    fixture.publish();
    fixture.send("/one/");
    fixture.fail(fixture.last<ForwardRequest>().at(0).attempt, FailureKind::ConnectionReset, true);
    fixture.fail(fixture.last<ForwardRequest>().at(0).attempt, FailureKind::ConnectionReset, true);
    cr_assert(fixture.last<ForwardRequest>().empty());
    cr_assert_eq(fixture.last<AnswerRequest>().size(), 1U);
}

// Guards against the fault of an incident: hedges had spent the whole budget, and a request whose searcher reset the
// connection after 1 ms was answered 502 although two other searchers were idle.
Test(single, hedgesLeaveBudgetForRetries)
{
    RoutingFixture fixture = oneService(true);
    std::size_t hedges = 0;
    for (int round = 0; round < 40; ++round) {
        fixture.send("/one/");
        fixture.advance(std::chrono::milliseconds(300));
        hedges += fixture.last<ForwardRequest>().size();
        fixture.advance(std::chrono::seconds(2));
    }
    cr_assert_gt(hedges, 0U);
    for (const char *id : {"x", "y"}) {
        fixture.state.routing.searchers.at(id)->restsUntil = {};
        fixture.state.routing.searchers.at(id)->rests = 0;
    }
    fixture.send("/one/");
    fixture.fail(fixture.last<ForwardRequest>().at(0).attempt, FailureKind::ConnectionReset, true);
    cr_assert_eq(fixture.last<ForwardRequest>().size(), 1U);
}

// Guards against extra requests beyond the fleet's allowance, however slow searchers are.
Test(single, extrasStayWithinTheAllowance)
{
    RoutingFixture fixture = oneService(true);
    fixture.state.routing.allowance = {0.2, 10.0};
    fixture.publish();
    constexpr std::size_t Requests = 200;
    std::size_t extras = 0;
    for (std::size_t number = 0; number < Requests; ++number) {
        fixture.send("/one/");
        for (const ForwardRequest &sent : fixture.last<ForwardRequest>()) {
            fixture.fail(sent.attempt, FailureKind::ConnectionReset, true);
            extras += fixture.last<ForwardRequest>().size();
        }
        fixture.advance(std::chrono::milliseconds(10));
    }
    cr_assert_leq(extras, 50U);
}

// Guards against new work for a searcher that drains, also if it is the only one.
Test(single, drainingSearcherGetsNothing)
{
    RoutingFixture fixture = oneService(true);
    fixture.searchers->entries["x"].draining = true;
    fixture.searchers->entries["y"].draining = true;
    fixture.publish();
    fixture.send("/one/");
    cr_assert(fixture.last<ForwardRequest>().empty());
    cr_assert(fixture.last<AnswerRequest>().at(0).answer.kind == ClientAnswerKind::Refused);
}

// Guards against a searcher that keeps getting work although another process has its address.
Test(single, displacedSearcherGetsNothing)
{
    RoutingFixture fixture = oneService(true);
    fixture.send("/one/");
    const ForwardRequest first = fixture.last<ForwardRequest>().at(0);
    fixture.reply(first.attempt, ForwardReplyKind::WrongInstance);
    for (int round = 0; round < 10; ++round) {
        fixture.send("/one/");
        const ForwardRequest sent = fixture.last<ForwardRequest>().at(0);
        cr_assert(sent.searcher != first.searcher);
        fixture.reply(sent.attempt, ForwardReplyKind::Success);
    }
}

// Guards against connections beyond this host's part of a searcher's limit, and against requests that are then held.
Test(single, fullSearchersMakeAnEarlyRefusal)
{
    RoutingFixture fixture = oneService(true);
    fixture.routes->services["desk"] = {2};
    fixture.publish();
    std::size_t sent = 0;
    for (int number = 0; number < 5; ++number) {
        fixture.send("/one/");
        sent += fixture.last<ForwardRequest>().size();
    }
    cr_assert_eq(sent, 2U);
    fixture.advance(std::chrono::milliseconds(30));
    cr_assert_eq(fixture.last<AnswerRequest>().size(), 3U);
    cr_assert(fixture.last<AnswerRequest>().at(0).answer.kind == ClientAnswerKind::Refused);
}

// Guards against work that goes on for a client that has left.
Test(single, abandonedRequestIsCancelled)
{
    RoutingFixture fixture = oneService(true);
    const QueryId request = fixture.send("/one/");
    const AttemptId attempt = fixture.last<ForwardRequest>().at(0).attempt;
    fixture.apply(RequestAbandoned{request});
    fixture.advance(std::chrono::milliseconds(500));
    cr_assert(fixture.last<CancelForward>().at(0).attempt == attempt);
    cr_assert(fixture.last<AnswerRequest>().empty());
}

// Guards against a request cut at the end of a stop: the first hunt showed one taken 4 s after SIGTERM and closed unanswered.
Test(single, stoppingHostRefusesAndCloses)
{
    RoutingFixture fixture = oneService(true);
    fixture.send("/one/");
    const AttemptId running = fixture.last<ForwardRequest>().at(0).attempt;
    fixture.apply(StopRequested{});
    cr_assert_eq(fixture.last<StopListening>().size(), 1U);
    cr_assert(fixture.last<ReportStopped>().empty());
    fixture.send("/one/");
    cr_assert(fixture.last<AnswerRequest>().at(0).answer.kind == ClientAnswerKind::Refused);
    cr_assert(fixture.last<AnswerRequest>().at(0).answer.closeConnection);
    fixture.reply(running, ForwardReplyKind::Success);
    cr_assert(fixture.last<AnswerRequest>().at(0).answer.kind == ClientAnswerKind::Reply);
    cr_assert_eq(fixture.last<ReportStopped>().size(), 1U);
}

// Guards against a restarted searcher that inherits what was learned of its earlier process.
Test(single, rebornSearcherStartsAnew)
{
    RoutingFixture fixture = oneService(true);
    const SearcherLoadPtr before = fixture.state.routing.searchers.at("x");
    fixture.searchers->entries["x"].startedAtMs = 2;
    fixture.publish();
    cr_assert(fixture.state.routing.searchers.at("x") != before);
    cr_assert(fixture.state.routing.searchers.at("y") != nullptr);
}
