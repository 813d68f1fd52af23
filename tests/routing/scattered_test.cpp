#include "tests/routing/routingfixture.h"

#include <criterion/criterion.h>

using namespace Quetzallift;

namespace
{
RoutingFixture fourShards()
{
    RoutingFixture fixture;
    fixture.addScattered(4, 0.75);
    fixture.publish();
    return fixture;
}
}

// Guards against an answer that lacks the greatest records or drops duplicates of equal records.
Test(scattered, mergesGreatestRecords)
{
    const std::string low(16, 'a');
    const std::string high(16, '\xff');
    cr_assert(greatestRecords({low + high, high + "short"}, 3) == high + high + low);
    cr_assert(greatestRecords({low}, 0).empty());
}

// Guards against a scattered request that is sent to a shard twice or not at all.
Test(scattered, sendsToEachShardOnce)
{
    RoutingFixture fixture = fourShards();
    fixture.send("/all/");
    const auto sent = fixture.last<ForwardRequest>();
    cr_assert_eq(sent.size(), 4U);
    for (const ForwardRequest &part : sent) {
        fixture.reply(part.attempt, ForwardReplyKind::Success);
    }
    const ClientAnswer answer = fixture.last<AnswerRequest>().at(0).answer;
    cr_assert(answer.kind == ClientAnswerKind::Merged);
    cr_assert_eq(answer.signatures.size(), 4U);
    cr_assert_eq(answer.missing, 0U);
}

// Guards against a paused searcher that delays the whole answer although another searcher has the shard.
Test(scattered, hedgesStragglerAtAnotherSearcher)
{
    RoutingFixture fixture = fourShards();
    fixture.send("/all/");
    const auto sent = fixture.last<ForwardRequest>();
    for (std::size_t part = 1; part < sent.size(); ++part) {
        fixture.reply(sent[part].attempt, ForwardReplyKind::Success);
    }
    fixture.advance(std::chrono::milliseconds(80));
    const auto hedges = fixture.last<ForwardRequest>();
    cr_assert_eq(hedges.size(), 1U);
    cr_assert(hedges.at(0).searcher != sent[0].searcher);
    fixture.reply(hedges.at(0).attempt, ForwardReplyKind::Success);
    cr_assert_eq(fixture.last<AnswerRequest>().at(0).answer.signatures.size(), 4U);
    fixture.reply(sent[0].attempt, ForwardReplyKind::Success);
    cr_assert(fixture.last<AnswerRequest>().empty());
}

// Guards against an answer that misses the latency target because of one shard although enough parts are covered.
Test(scattered, answersAtLatencyTargetWithEnoughParts)
{
    RoutingFixture fixture = fourShards();
    fixture.send("/all/");
    const auto sent = fixture.last<ForwardRequest>();
    for (std::size_t part = 1; part < sent.size(); ++part) {
        fixture.reply(sent[part].attempt, ForwardReplyKind::Success);
    }
    cr_assert(fixture.last<AnswerRequest>().empty());
    fixture.advance(std::chrono::milliseconds(120));
    const ClientAnswer answer = fixture.last<AnswerRequest>().at(0).answer;
    cr_assert(answer.kind == ClientAnswerKind::Merged);
    cr_assert_eq(answer.missing, 1U);
}

// Guards against a successful answer below the minimum coverage.
Test(scattered, timesOutBelowMinimumCoverage)
{
    RoutingFixture fixture = fourShards();
    fixture.send("/all/");
    const auto sent = fixture.last<ForwardRequest>();
    fixture.reply(sent[0].attempt, ForwardReplyKind::Success);
    fixture.reply(sent[1].attempt, ForwardReplyKind::Success);
    fixture.advance(std::chrono::milliseconds(1000));
    cr_assert(fixture.last<AnswerRequest>().at(0).answer.kind == ClientAnswerKind::TimedOut);
}

// Guards against one answer with parts of two versions of the index, after the route's shards change while a request
// runs.
Test(scattered, runningRequestKeepsItsShards)
{
    RoutingFixture fixture = fourShards();
    fixture.send("/all/");
    const auto sent = fixture.last<ForwardRequest>();
    fixture.routes->routes.back().shards = {"s0", "s1"};
    fixture.routes->version = 2;
    fixture.publish();
    for (const ForwardRequest &part : sent) {
        fixture.reply(part.attempt, ForwardReplyKind::Success);
    }
    cr_assert_eq(fixture.last<AnswerRequest>().at(0).answer.signatures.size(), 4U);
}

// Guards against a request that is sent although too few shards have a searcher for the minimum coverage.
Test(scattered, refusesIfTooFewServicesHaveSearchers)
{
    RoutingFixture fixture = fourShards();
    for (const char *id : {"s0-near", "s0-far", "s1-near", "s1-far"}) {
        fixture.searchers->entries.erase(id);
    }
    fixture.publish();
    fixture.send("/all/");
    cr_assert(fixture.last<ForwardRequest>().empty());
    cr_assert(fixture.last<AnswerRequest>().at(0).answer.kind == ClientAnswerKind::Refused);
}

// Guards against a retry budget that is too small for any hedge because it is divided by the hosts of a large fleet.
Test(scattered, hedgesStragglerInALargeFleet)
{
    RoutingFixture fixture;
    fixture.addScattered(4, 0.75);
    fixture.hosts = 83;
    fixture.state.routing.allowance = {0.2, 206.0, std::chrono::seconds(10)};
    fixture.publish();
    for (int round = 0; round < 3; ++round) {
        fixture.send("/all/");
        const auto sent = fixture.last<ForwardRequest>();
        for (std::size_t part = 1; part < sent.size(); ++part) {
            fixture.reply(sent[part].attempt, ForwardReplyKind::Success);
        }
        fixture.advance(std::chrono::milliseconds(80));
        cr_assert_eq(fixture.last<ForwardRequest>().size(), 1U);
        fixture.reply(fixture.last<ForwardRequest>().at(0).attempt, ForwardReplyKind::Success);
        fixture.reply(sent[0].attempt, ForwardReplyKind::Success);
        // One host of a large fleet receives about two requests for a shard per second.
        for (int number = 0; number < 20; ++number) {
            fixture.advance(std::chrono::milliseconds(500));
            fixture.send("/all/");
            for (const ForwardRequest &part : fixture.last<ForwardRequest>()) {
                fixture.reply(part.attempt, ForwardReplyKind::Success);
            }
        }
    }
}

// Guards against a hedge delay that grows with the pauses of searchers, so that hedges are too late for the latency
// target. Seen in a large fleet under normal load: hedges were sent 60 to 90 ms after requests whose replies take 8 ms.
Test(scattered, pausesDoNotDelayHedges)
{
    RoutingFixture fixture = fourShards();
    fixture.state.routing.allowance = {1.0, 1000.0, std::chrono::seconds(10)};
    fixture.publish();
    for (std::size_t round = 0; round < 40; ++round) {
        fixture.send("/all/");
        const auto sent = fixture.last<ForwardRequest>();
        fixture.advance(std::chrono::milliseconds(8));
        for (std::size_t part = 0; part < sent.size(); ++part) {
            if (part != round % sent.size()) {
                fixture.reply(sent[part].attempt, ForwardReplyKind::Success);
            }
        }
        fixture.advance(std::chrono::milliseconds(142));
        fixture.reply(sent[round % sent.size()].attempt, ForwardReplyKind::Success);
        fixture.advance(std::chrono::seconds(1));
    }
    fixture.send("/all/");
    const auto sent = fixture.last<ForwardRequest>();
    fixture.advance(std::chrono::milliseconds(8));
    for (std::size_t part = 1; part < sent.size(); ++part) {
        fixture.reply(sent[part].attempt, ForwardReplyKind::Success);
    }
    fixture.advance(std::chrono::milliseconds(12));
    cr_assert_eq(fixture.last<ForwardRequest>().size(), 1U);
}

// Guards against the fault of inc-4f93: a request was refused as not run because two shards were full, while searchers
// of the other shards were executing it.
Test(scattered, failsInsteadOfRefusingWhileSearchersExecute)
{
    RoutingFixture fixture = fourShards();
    fixture.state.routing.allowance = {1.0, 1000.0, std::chrono::seconds(10)};
    fixture.publish();
    fixture.send("/all/");
    const auto sent = fixture.last<ForwardRequest>();
    for (std::size_t part = 0; part < 2; ++part) {
        fixture.reply(sent[part].attempt, ForwardReplyKind::NotExecuted);
        const auto retries = fixture.last<ForwardRequest>();
        cr_assert_eq(retries.size(), 1U);
        fixture.reply(retries.at(0).attempt, ForwardReplyKind::NotExecuted);
    }
    cr_assert(fixture.last<AnswerRequest>().at(0).answer.kind == ClientAnswerKind::Failed);
}

// Guards against a request that no searcher executed being answered as failed: after a refusal the client can retry
// safely.
Test(scattered, refusesIfEverySearcherIsFull)
{
    RoutingFixture fixture;
    fixture.addScattered(1, 1.0);
    fixture.state.routing.allowance = {1.0, 1000.0, std::chrono::seconds(10)};
    fixture.publish();
    fixture.send("/all/");
    fixture.reply(fixture.last<ForwardRequest>().at(0).attempt, ForwardReplyKind::NotExecuted);
    fixture.reply(fixture.last<ForwardRequest>().at(0).attempt, ForwardReplyKind::NotExecuted);
    cr_assert(fixture.last<AnswerRequest>().at(0).answer.kind == ClientAnswerKind::Refused);
}
