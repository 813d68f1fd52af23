#include "tests/query/poolfixture.h"

#include <criterion/criterion.h>

using namespace Quetzallift;
using std::chrono::milliseconds;

namespace
{
// The window after replies whose latency rises from 2 ms to 50 ms, with the given share of the 25 connections.
double windowAfterRaisedLatency(unsigned share)
{
    PoolFixture fixture(1, 1);
    fixture.publishShares(share);
    fixture.arriveMany(1);
    fixture.warm("s0r0", share, 2.0);
    for (int reply = 0; reply < 60; ++reply) {
        fixture.advance(milliseconds(reply < 20 ? 2 : 50));
        fixture.replyOk(fixture.sent().back());
        fixture.arriveMany(1);
    }
    return fixture.state().query.searchers["s0r0"].window.size;
}
}

// Guards against sub-requests that wait on a busy entry host because its own delay is mistaken for queueing at the searcher.
Test(observe, latencyDoesNotLowerTheWindowBelowTheShareOfTheSlots)
{
    cr_assert_geq(windowAfterRaisedLatency(25), 2.0);
    cr_assert_lt(windowAfterRaisedLatency(5), 2.0);
}
