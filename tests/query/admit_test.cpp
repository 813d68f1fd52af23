#include "benchmarks/queuemodel.h"
#include "quetzallift/query/fairshare.h"
#include "tests/query/poolfixture.h"

#include <criterion/criterion.h>

using namespace Quetzallift;
using QueueModel::Model;
using std::chrono::seconds;

// Guards against admitting a query that cannot meet its deadline because of queueing, and against a refusal without its
// reason.
Test(admission, queryThatCannotMeetItsDeadlineIsRefused)
{
    PoolFixture fixture(1, 1);
    fixture.arriveMany(1);
    fixture.state().query.searchers["s0r0"].latency.add(Seconds(2.0), fixture.now());
    fixture.arriveMany(1);
    cr_assert_eq(fixture.answers().size(), 1U);
    cr_assert(fixture.answers().at(0).answer.execution == Execution::NotRun);
    // One sub-request is in flight and the window is one, so the estimate is two rounds of 2 s.
    cr_assert_neq(fixture.answers().at(0).answer.error.find("4000 ms"), std::string::npos);
}

// Guards against a wrong latency estimate that refuses every query and is therefore never corrected.
Test(admission, queryIsAdmittedIfNoOtherIsRunning)
{
    PoolFixture fixture(1, 1);
    fixture.arriveMany(1);
    fixture.replyOk(fixture.sent().at(0));
    fixture.state().query.searchers["s0r0"].latency.add(Seconds(100.0), fixture.now());
    fixture.arriveMany(1);
    cr_assert_eq(fixture.sent().size(), 2U);
}

// Guards against a caller that uses up the share of another one, and against capacity of idle callers that stays unused.
Test(admission, idleShareIsBorrowedAndActiveShareIsReserved)
{
    BackEndLoad load;
    load.limit = 20.0;
    const TimePoint now{};
    recordArrival(load, "partners", 1.0, now);
    while (checkFairShare(load, "partners", now) == LimitDecision::Admitted) {
        startFairQuery(load, "partners");
    }
    cr_assert_eq(load.running, 20U);
    recordArrival(load, "guides", 1.0, now);
    cr_assert(checkFairShare(load, "guides", now) == LimitDecision::Admitted);
    cr_assert(checkFairShare(load, "partners", now) == LimitDecision::OverShare);
}

// Guards against a collapse of goodput at four times the capacity.
Test(admission, goodputIsStableAtFourTimesTheCapacity)
{
    double peak = 0.0;
    double overloaded = 0.0;
    for (const double load : {0.9, 1.0, 4.0}) {
        Model model({});
        model.offer("guides", load * model.capacity(), seconds(0), seconds(8));
        model.run(seconds(9));
        overloaded = model.goodput(seconds(3), seconds(8));
        peak = std::max(peak, overloaded);
    }
    cr_assert_geq(overloaded, 0.9 * peak, "%f of %f", overloaded, peak);
}

// Guards against metastable overload, which lasts after the excess load has ended.
Test(admission, goodputRecoversWithinFiveSecondsOfAnOverload)
{
    Model model({});
    const double rate = 0.6 * model.capacity();
    model.offer("guides", rate, seconds(0), seconds(46));
    model.offer("guides", 2.0 * model.capacity() - rate, seconds(5), seconds(35));
    model.run(seconds(47));
    cr_assert_geq(model.goodput(seconds(40), seconds(46)), 0.95 * model.goodput(seconds(1), seconds(5)));
}

// Guards against a caller above its share that raises the latency of a caller within its share. Each share is half of the
// capacity.
Test(admission, callerAboveItsShareDoesNotRaiseLatencyOfAnotherOne)
{
    std::map<double, Duration> p99;
    for (const double noisy : {0.5, 5.0}) {
        Model model({});
        const double rate = 0.3 * model.capacity();
        model.offer("guides", rate, seconds(0), seconds(10));
        model.offer("partners", noisy * model.capacity(), seconds(0), seconds(10));
        model.run(seconds(11));
        p99[noisy] = model.quantile(0.99, seconds(3), seconds(10), "guides");
        cr_assert_geq(model.goodput(seconds(3), seconds(10), "guides"), 0.9 * rate);
    }
    cr_assert_leq(p99[5.0].count(), p99[0.5].count() * 3 / 2);
}
