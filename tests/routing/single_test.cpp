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

// Guards against a host that answers 404 before it has received a configuration.
Test(single, refusesWithoutConfiguration)
{
    RoutingFixture fixture;
    fixture.send("/one/");
    cr_assert(fixture.last<AnswerRequest>().at(0).answer.kind == ClientAnswerKind::Refused);
}

// Guards against a request that is routed by a shorter prefix although a longer one matches.
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

// Guards against a retry of a non-idempotent request after a connection that was reset without an answer.
Test(single, doesNotRetryNonIdempotentRequest)
{
    RoutingFixture fixture = oneService(false);
    fixture.send("/one/");
    fixture.fail(fixture.last<ForwardRequest>().at(0).attempt, FailureKind::ConnectionReset, true);
    cr_assert(fixture.last<ForwardRequest>().empty());
    cr_assert(fixture.last<AnswerRequest>().at(0).answer.kind == ClientAnswerKind::Failed);
}

// Guards against a hedge of a slow non-idempotent request.
Test(single, doesNotHedgeNonIdempotentRequest)
{
    RoutingFixture fixture = oneService(false);
    fixture.send("/one/");
    fixture.advance(std::chrono::milliseconds(900));
    cr_assert(fixture.last<ForwardRequest>().empty());
}

// Guards against a request that is lost although the searcher replied that it did not execute it.
Test(single, retriesNotExecutedAtAnotherSearcher)
{
    RoutingFixture fixture = oneService(false);
    fixture.send("/one/");
    const ForwardRequest first = fixture.last<ForwardRequest>().at(0);
    fixture.reply(first.attempt, ForwardReplyKind::NotExecuted);
    cr_assert(fixture.last<ForwardRequest>().at(0).searcher != first.searcher);
    fixture.reply(fixture.last<ForwardRequest>().at(0).attempt, ForwardReplyKind::NotExecuted);
    cr_assert(fixture.last<AnswerRequest>().at(0).answer.kind == ClientAnswerKind::Refused);
}

// Guards against a refusal, which guarantees that nothing was executed, of a request that may have been executed.
Test(single, timeoutAfterSendIsNotARefusal)
{
    RoutingFixture fixture = oneService(false);
    fixture.send("/one/");
    fixture.advance(std::chrono::milliseconds(1000));
    cr_assert(fixture.last<AnswerRequest>().at(0).answer.kind == ClientAnswerKind::TimedOut);
}

// Guards against more attempts at a request than its route allows.
Test(single, attemptsStayWithinTheRouteLimit)
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

// Guards against hedges that exhaust the whole retry budget. In an incident the hedges had spent it, and a request whose
// searcher reset the connection after 1 ms was answered with 502 although two other searchers were idle.
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
        fixture.state.routing.searchers.at(id)->ejectedUntil = {};
        fixture.state.routing.searchers.at(id)->consecutiveEjections = 0;
    }
    fixture.send("/one/");
    fixture.fail(fixture.last<ForwardRequest>().at(0).attempt, FailureKind::ConnectionReset, true);
    cr_assert_eq(fixture.last<ForwardRequest>().size(), 1U);
}

// Guards against extra requests beyond the fleet's allowance when every attempt fails.
Test(single, extraRequestsStayWithinTheAllowance)
{
    RoutingFixture fixture = oneService(true);
    fixture.state.routing.allowance = {0.2, 10.0};
    fixture.publish();
    constexpr std::size_t Requests = 200;
    std::size_t extraRequests = 0;
    for (std::size_t number = 0; number < Requests; ++number) {
        fixture.send("/one/");
        for (const ForwardRequest &sent : fixture.last<ForwardRequest>()) {
            fixture.fail(sent.attempt, FailureKind::ConnectionReset, true);
            extraRequests += fixture.last<ForwardRequest>().size();
        }
        fixture.advance(std::chrono::milliseconds(10));
    }
    cr_assert_leq(extraRequests, 50U);
}

// Guards against new requests to draining searchers, even if no other searcher is available.
Test(single, drainingSearchersGetNoRequests)
{
    RoutingFixture fixture = oneService(true);
    fixture.searchers->entries["x"].draining = true;
    fixture.searchers->entries["y"].draining = true;
    fixture.publish();
    fixture.send("/one/");
    cr_assert(fixture.last<ForwardRequest>().empty());
    cr_assert(fixture.last<AnswerRequest>().at(0).answer.kind == ClientAnswerKind::Refused);
}

// Guards against a searcher that keeps getting requests although its address belongs to another process.
Test(single, searcherWithReusedAddressGetsNoRequests)
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

// Guards against more connections than this host's share of a searcher's limit, and against queued requests that are
// refused only at their time limit.
Test(single, refusesEarlyIfSearchersAreFull)
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

// Guards against an attempt that keeps running after the client has left.
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

// Guards against a request that is cut off at the end of a stop: a host admitted a request 4 s after SIGTERM and closed
// its connection without an answer.
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

// Guards against a restarted searcher that inherits the observations of its earlier process.
Test(single, restartedSearcherGetsNewState)
{
    RoutingFixture fixture = oneService(true);
    const SearcherLoadPtr before = fixture.state.routing.searchers.at("x");
    fixture.searchers->entries["x"].startedAtMs = 2;
    fixture.publish();
    cr_assert(fixture.state.routing.searchers.at("x") != before);
    cr_assert(fixture.state.routing.searchers.at("y") != nullptr);
}

// Guards against a request whose limit starts anew when a busy host reads it, and against one that is sent although its limit
// has passed by then.
Test(single, limitIncludesTheTimeUntilTheRequestWasRead)
{
    RoutingFixture fixture = oneService(true);
    fixture.send("/one/", std::chrono::milliseconds(400));
    const TimePoint deadline = fixture.last<ForwardRequest>().at(0).deadline;
    cr_assert_leq((deadline - fixture.now).count(), Duration(std::chrono::milliseconds(600)).count());
    fixture.send("/one/", std::chrono::milliseconds(1000));
    cr_assert(fixture.last<ForwardRequest>().empty());
    cr_assert(fixture.last<AnswerRequest>().at(0).answer.kind == ClientAnswerKind::Refused);
}
