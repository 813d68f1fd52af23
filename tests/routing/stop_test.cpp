#include "tests/routing/routingfixture.h"

#include <criterion/criterion.h>

using namespace Quetzallift;

namespace
{
using Millis = std::chrono::milliseconds;

constexpr Millis RefusalStart(4000);
constexpr Millis CutOff(5000);

// A host in a planned stop: from the signal on it leaves, after 4 s it refuses all requests, after 5 s it cuts off those
// that still run.
struct StoppingHost : RoutingFixture {
    explicit StoppingHost(bool idempotent, Duration timeout)
    {
        addRoute("/one/", "desk", idempotent);
        routes->routes.back().timeout = timeout;
        addSearcher("x", "desk", "a");
        publish();
        leaving = true;
        cutOffAt = now + CutOff;
        publish();
    }

    bool taken() const
    {
        return !last<ForwardRequest>().empty();
    }
};
}

// Guards against a request that is taken late in a planned stop, passed on, and cut off without its answer; one that is not
// idempotent would be lost. Searchers do not reply within the stop.
Test(stop, takesNoRequestThatItWouldCutOff)
{
    for (const Millis timeout : {Millis(1000), Millis(5000), Millis(20000)}) {
        for (Millis arrival(100); arrival < Millis(5900); arrival += Millis(100)) {
            StoppingHost host(false, timeout);
            const TimePoint cutOff = *host.cutOffAt;
            host.advance(std::min(arrival, RefusalStart));
            if (arrival >= RefusalStart) {
                host.apply(StopRequested{});
                host.advance(arrival - RefusalStart);
            }
            host.send("/one/");
            const bool taken = host.taken();
            cr_assert(taken || host.last<AnswerRequest>().at(0).answer.kind == ClientAnswerKind::Refused);
            if (taken) {
                host.advance(cutOff - host.now);
                cr_assert_eq(host.last<AnswerRequest>().size(),
                             1U,
                             "arrival at %lld ms, limit %lld ms: cut off",
                             static_cast<long long>(arrival.count()),
                             static_cast<long long>(timeout.count()));
            }
        }
    }
}

// Guards against a planned stop that refuses requests that it has time to answer.
Test(stop, takesRequestsThatEndInTime)
{
    StoppingHost once(false, Millis(1000));
    once.advance(Millis(3500));
    once.send("/one/");
    cr_assert(once.taken());
    StoppingHost repeatable(true, Millis(20000));
    repeatable.advance(Millis(3500));
    repeatable.send("/one/");
    cr_assert(repeatable.taken());
}

// Guards against a refused client that comes back to the host that is leaving, or waits although other hosts are free.
Test(stop, refusedClientsAreSentElsewhereAtOnce)
{
    StoppingHost host(false, Millis(20000));
    host.advance(Millis(100));
    host.send("/one/");
    const ClientAnswer answer = host.last<AnswerRequest>().at(0).answer;
    cr_assert(answer.kind == ClientAnswerKind::Refused);
    cr_assert(answer.closeConnection);
    cr_assert(answer.retryAfter == Duration::zero());
}
