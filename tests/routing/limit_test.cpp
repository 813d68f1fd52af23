#include "tests/routing/routingfixture.h"

#include <criterion/criterion.h>

#include <random>

using namespace Quetzallift;

namespace
{
using Millis = std::chrono::milliseconds;

constexpr Millis Window = Millis(4000);
constexpr Millis Step = Millis(10);

// Several hosts under more load than their searchers' limit allows. Each searcher replies after some time, and states the
// limit in every reply.
struct LimitedFleet {
    struct Reply {
        TimePoint at;
        std::size_t host;
        AttemptId attempt;
    };

    LimitedFleet(std::size_t hostCount, double limit)
        : requestsPerSecond(limit)
        , hosts(hostCount)
    {
        for (RoutingFixture &host : hosts) {
            host.hosts = hostCount;
            host.self = "host" + std::to_string(seed);
            host.addRoute("/one/", "desk", true);
            host.addScattered(4, 0.5);
            host.addSearcher("x", "desk", "a");
            host.addSearcher("y", "desk", "b");
            host.state.hooks.random = [engine = std::mt19937_64(++seed)]() mutable {
                return engine();
            };
            host.publish();
        }
    }

    void collect(std::size_t host)
    {
        for (const ForwardRequest &sent : hosts[host].last<ForwardRequest>()) {
            arrivals[sent.searcher].push_back(hosts[host].now);
            // Some replies are late, so that their parts are hedged.
            const Millis time = Millis(random() % 10 == 0 ? 300 : 20);
            replies.push_back({hosts[host].now + time, host, sent.attempt});
        }
        for (const AnswerRequest &answered : hosts[host].last<AnswerRequest>()) {
            refused += answered.answer.kind == ClientAnswerKind::Refused ? 1 : 0;
            served += answered.answer.kind == ClientAnswerKind::Reply || answered.answer.kind == ClientAnswerKind::Merged ? 1 : 0;
        }
    }

    void play(Millis time)
    {
        const TimePoint end = hosts.front().now + time;
        while (hosts.front().now < end) {
            for (std::size_t host = 0; host < hosts.size(); ++host) {
                playHost(host);
            }
        }
    }

    void playHost(std::size_t host)
    {
        RoutingFixture &fixture = hosts[host];
        fixture.advance(Step);
        collect(host);
        fixture.send(random() % 2 == 0 ? "/one/" : "/all/");
        collect(host);
        std::vector<Reply> due;
        std::copy_if(replies.begin(), replies.end(), std::back_inserter(due), [&](const Reply &reply) {
            return reply.host == host && reply.at <= fixture.now;
        });
        std::erase_if(replies, [&](const Reply &reply) {
            return reply.host == host && reply.at <= fixture.now;
        });
        for (const Reply &reply : due) {
            ForwardReply content;
            content.kind = random() % 10 == 0 ? ForwardReplyKind::NotExecuted : ForwardReplyKind::Success;
            content.status = content.kind == ForwardReplyKind::Success ? 200 : 503;
            content.signature = "sig" + std::to_string(reply.attempt.value);
            content.body = "0123456789abcdef";
            content.statement.requestLimit = requestsPerSecond;
            fixture.apply(ForwardReplied{reply.attempt, content});
            collect(host);
        }
    }

    // The most requests that a searcher got in a window that began after the given time.
    std::size_t mostInWindow(TimePoint from) const
    {
        std::size_t most = 0;
        for (const auto &[searcher, times] : arrivals) {
            std::vector<TimePoint> sorted = times;
            std::sort(sorted.begin(), sorted.end());
            for (auto first = std::lower_bound(sorted.begin(), sorted.end(), from); first != sorted.end(); ++first) {
                most = std::max(most, static_cast<std::size_t>(std::lower_bound(first, sorted.end(), *first + Window) - first));
            }
        }
        return most;
    }

    double requestsPerSecond;
    unsigned seed = 0;
    std::mt19937_64 random{1};
    std::vector<RoutingFixture> hosts;
    std::vector<Reply> replies;
    std::map<std::string, std::vector<TimePoint>> arrivals;
    std::size_t refused = 0;
    std::size_t served = 0;
};

std::size_t allowedInWindow(double perSecond)
{
    return static_cast<std::size_t>(1.5 * perSecond * std::chrono::duration<double>(Window).count() + 5.0);
}
}

// Guards against a searcher that gets more requests than the limit that it states, summed over the hosts, with first sends,
// queued parts, hedges and retries.
Test(limit, searchersGetNoMoreThanTheyStateFromAllHosts)
{
    for (const std::size_t hosts : {1U, 7U}) {
        for (const double limit : {4.0, 20.0}) {
            LimitedFleet fleet(hosts, limit);
            const TimePoint start = fleet.hosts.front().now;
            fleet.play(Millis(12000));
            const std::size_t most = fleet.mostInWindow(start + Millis(1000));
            cr_assert_leq(most, allowedInWindow(limit), "%zu hosts, %.0f a second: %zu in a window", hosts, limit, most);
            cr_assert_gt(fleet.served, 0U);
            cr_assert_gt(fleet.refused, 0U);
        }
    }
}

// Guards against hosts of a large fleet that each save a request while idle and send it in the same moment.
Test(limit, holdsInAFleetWithMoreHostsThanRequests)
{
    LimitedFleet fleet(40, 10.0);
    const TimePoint start = fleet.hosts.front().now;
    fleet.play(Millis(12000));
    cr_assert_leq(fleet.mostInWindow(start + Millis(1000)), allowedInWindow(10.0));
}

// Guards against a searcher that is never asked again because it states a limit of zero, and against a limit that outlives
// its statement.
Test(limit, endsWithTheFirstReplyWithoutIt)
{
    RoutingFixture fixture;
    fixture.addRoute("/one/", "desk", true);
    fixture.addSearcher("x", "desk", "a");
    fixture.publish();
    fixture.send("/one/");
    ForwardReply reply;
    reply.kind = ForwardReplyKind::Success;
    reply.statement.requestLimit = 0.0;
    fixture.apply(ForwardReplied{fixture.last<ForwardRequest>().at(0).attempt, reply});
    fixture.send("/one/");
    cr_assert(fixture.last<ForwardRequest>().empty());
    fixture.advance(std::chrono::seconds(3));
    fixture.send("/one/");
    cr_assert_eq(fixture.last<ForwardRequest>().size(), 1U);
    fixture.reply(fixture.last<ForwardRequest>().at(0).attempt, ForwardReplyKind::Success);
    for (int number = 0; number < 5; ++number) {
        fixture.send("/one/");
        cr_assert_eq(fixture.last<ForwardRequest>().size(), 1U);
    }
}

// Guards against a request that waits although its searchers' limits leave no room in time, and against a refusal that names
// no time to return.
Test(limit, refusesAtOnceWhatLimitsLeaveNoRoomFor)
{
    RoutingFixture fixture;
    fixture.addRoute("/one/", "desk", true);
    fixture.addSearcher("x", "desk", "a");
    fixture.publish();
    fixture.send("/one/");
    ForwardReply reply;
    reply.kind = ForwardReplyKind::Success;
    reply.statement.requestLimit = 1.0;
    fixture.apply(ForwardReplied{fixture.last<ForwardRequest>().at(0).attempt, reply});
    fixture.send("/one/");
    const ClientAnswer answer = fixture.last<AnswerRequest>().at(0).answer;
    cr_assert(answer.kind == ClientAnswerKind::Refused);
    cr_assert_gt(answer.retryAfter.count(), Duration(Millis(500)).count());
}

// Guards against a part that stays in the queue although a limit leaves room for it shortly after.
Test(limit, queuedPartIsSentOnceTheLimitAllows)
{
    RoutingFixture fixture;
    fixture.addRoute("/one/", "desk", true);
    fixture.addSearcher("x", "desk", "a");
    fixture.publish();
    fixture.send("/one/");
    ForwardReply reply;
    reply.kind = ForwardReplyKind::Success;
    reply.statement.requestLimit = 100.0;
    fixture.apply(ForwardReplied{fixture.last<ForwardRequest>().at(0).attempt, reply});
    fixture.send("/one/");
    cr_assert(fixture.last<ForwardRequest>().empty());
    fixture.advance(Millis(15));
    cr_assert_eq(fixture.last<ForwardRequest>().size(), 1U);
}
