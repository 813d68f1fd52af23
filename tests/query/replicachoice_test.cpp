#include "benchmarks/queuemodel.h"
#include "tests/query/poolfixture.h"

#include <criterion/criterion.h>

using namespace Quetzallift;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
const std::function<std::uint64_t()> First = [] {
    return std::uint64_t{0};
};

ReplicaCandidate candidate(milliseconds latency, unsigned load, bool near)
{
    return {latency, 0.0, load, 2.0, Duration::zero(), near};
}

void failOnce(PoolFixture &fixture, FailureKind kind)
{
    const SendSubRequest request = fixture.sent().back();
    fixture.apply(SubRequestFailed{request.attempt, {Step::Wait, request.searcher, kind, {}}});
}

void reply(PoolFixture &fixture, SubReplyStatus status, bool leaving)
{
    SubReply reply = fixture.okReply(fixture.sent().back());
    reply.status = status;
    reply.leaving = leaving;
    fixture.apply(SubReplyArrived{fixture.sent().back().attempt, reply});
}
}

// Guards against traffic between data centres while the near replica is as fast, and against use of a near replica whose
// queueing time exceeds the extra latency of the far one.
Test(replicachoice, nearReplicaIsUsedUntilItsLoadOutweighsTheDistance)
{
    cr_assert_eq(leastExpectedTime({candidate(milliseconds(10), 0, false), candidate(milliseconds(10), 0, true)}, First), 1U);
    cr_assert_eq(leastExpectedTime({candidate(milliseconds(24), 0, false), candidate(milliseconds(4), 6, true)}, First), 1U);
    cr_assert_eq(leastExpectedTime({candidate(milliseconds(24), 0, false), candidate(milliseconds(4), 20, true)}, First), 0U);
}

// Guards against a replica that is never used again because of one old observation.
Test(replicachoice, observationsDecay)
{
    AgedMean<Seconds> mean;
    mean.add(Seconds(1.0), TimePoint{});
    cr_assert_gt(mean.valueAt(TimePoint{}, Seconds(0.01)).count(), 0.9);
    cr_assert_lt(mean.valueAt(TimePoint{} + seconds(20), Seconds(0.01)).count(), 0.02);
}

// Guards against a shard without a replica because its last one is ejected.
Test(replicachoice, lastReplicaOfAShardIsUsedAlthoughItIsEjected)
{
    PoolFixture fixture(1, 1);
    fixture.arriveMany(1);
    fixture.replyOk(fixture.sent().back());
    fixture.state().query.searchers["s0r0"].ejected = true;
    fixture.arriveMany(1);
    cr_assert_eq(fixture.sentTo("s0r0"), 2U);
}

// Guards against the ejection of more than a third of a back end when all searchers fail, as in a fault of a data centre.
Test(replicachoice, faultOfAllSearchersEjectsAtMostAThird)
{
    PoolFixture fixture(9, 1);
    for (int round = 0; round < 20; ++round) {
        const std::size_t before = fixture.sent().size();
        fixture.arriveMany(1);
        for (std::size_t index = before; index < fixture.sent().size(); ++index) {
            const SendSubRequest request = fixture.sent().at(index);
            fixture.apply(SubRequestFailed{request.attempt, {Step::Wait, request.searcher, FailureKind::BadReply, {}}});
        }
        fixture.advance(milliseconds(10));
    }
    cr_assert_eq(fixture.state().query.ejected["data"].size(), 3U);
}

// Guards against a searcher that stays ejected after its recovery, and against the use of a query to check whether it has
// recovered.
Test(replicachoice, ejectedSearcherIsUsedAgainAfterAHealthyProbe)
{
    PoolFixture fixture(3, 1);
    for (int round = 0; round < 3; ++round) {
        const std::size_t before = fixture.sent().size();
        fixture.arriveMany(1);
        const SendSubRequest request = fixture.sent().at(before);
        fixture.apply(SubRequestFailed{request.attempt, {Step::Wait, request.searcher, FailureKind::Timeout, {}}});
        fixture.replyOk(fixture.sent().at(before + 1));
        fixture.replyOk(fixture.sent().at(before + 2));
    }
    const SearcherView &view = fixture.state().query.searchers["s0r0"];
    cr_assert(view.ejected);
    fixture.advance(seconds(1));
    fixture.fireSearcherTimers();
    fixture.apply(SearcherProbed{"s0r0", false});
    cr_assert(view.ejected);
    fixture.advance(seconds(2));
    fixture.fireSearcherTimers();
    fixture.apply(SearcherProbed{"s0r0", true});
    cr_assert_not(view.ejected);
    cr_assert_eq(view.window.size, 1.0);
}

// Guards against new work for a searcher that is leaving, for each of the signs that show it.
Test(draining, everySignStopsNewWork)
{
    const std::vector<std::function<void(PoolFixture &)>> signs = {
        [](PoolFixture &fixture) {
            reply(fixture, SubReplyStatus::Draining, false);
        },
        [](PoolFixture &fixture) {
            reply(fixture, SubReplyStatus::Ok, true);
        },
        [](PoolFixture &fixture) {
            fixture.publishShares(25, {"s0r0"});
        },
        [](PoolFixture &fixture) {
            failOnce(fixture, FailureKind::ConnectionRefused);
        },
        [](PoolFixture &fixture) {
            failOnce(fixture, FailureKind::ConnectionReset);
            fixture.arriveMany(1);
            failOnce(fixture, FailureKind::ConnectionReset);
        },
    };
    for (const auto &sign : signs) {
        PoolFixture fixture(1, 1);
        fixture.arriveMany(1);
        sign(fixture);
        const std::size_t before = fixture.sent().size();
        fixture.arriveMany(3);
        cr_assert_eq(fixture.sent().size(), before);
    }
}

// Guards against queued sub-requests that are sent to a searcher after it began to drain.
Test(draining, queuedWorkMovesToAnotherReplica)
{
    PoolFixture fixture(1, 2);
    fixture.publishShares(1);
    fixture.arriveMany(4);
    cr_assert_eq(fixture.sentTo("s0r0"), 1U);
    const SendSubRequest first = fixture.sent().at(0);
    SubReply leaving = fixture.okReply(first);
    leaving.leaving = true;
    fixture.apply(SubReplyArrived{first.attempt, leaving});
    fixture.fireSearcherTimers();
    cr_assert_eq(fixture.state().query.searchers[first.searcher].queue.size(), 0U);
    cr_assert_eq(fixture.sentTo(first.searcher), 1U);
}

// Guards against a searcher that is never used again, and against one that gets work while its health probe fails.
Test(draining, searcherIsUsedAgainAfterAHealthyProbe)
{
    PoolFixture fixture(1, 1);
    fixture.arriveMany(1);
    reply(fixture, SubReplyStatus::Ok, true);
    fixture.advance(seconds(1));
    fixture.fireSearcherTimers();
    cr_assert_eq(fixture.count<ProbeSearcher>(), 1U);
    fixture.apply(SearcherProbed{"s0r0", false});
    fixture.arriveMany(1);
    cr_assert_eq(fixture.sent().size(), 1U);
    fixture.advance(seconds(2));
    fixture.fireSearcherTimers();
    fixture.apply(SearcherProbed{"s0r0", true});
    fixture.arriveMany(3);
    cr_assert_eq(fixture.sent().size(), 2U);
}

// Guards against an unreachable data centre that still makes queries fail after the fault was detected.
Test(replicachoice, unreachableDataCentreIsAvoidedOnceDetected)
{
    QueueModel::ModelSettings settings;
    settings.dataCentres = {"kingston-a", "montego-a", "ocho-a"};
    settings.hosts = 3;
    QueueModel::Model model(settings);
    const double rate = 0.3 * model.capacity();
    model.offer("guides", rate, seconds(0), seconds(12));
    model.at(seconds(4), [&model] {
        model.cutOff("ocho-a", true);
    });
    model.run(seconds(13));
    cr_assert_geq(model.goodput(seconds(6), seconds(12)), 0.9 * rate);
}
