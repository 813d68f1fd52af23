#pragma once

#include "quetzallift/core/event.h"
#include "quetzallift/core/reduce.h"
#include "quetzallift/core/state.h"

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

namespace Quetzallift
{
// A traffic thread's reducer with routes and searchers, driven by the test in simulated time.
struct RoutingFixture {
    State state;
    TimePoint now = TimePoint(std::chrono::hours(1));
    RefPtr<RouteTable> routes = RefPtr<RouteTable>(new RouteTable);
    RefPtr<SearcherTable> searchers = RefPtr<SearcherTable>(new SearcherTable);
    Effects effects;
    std::uint64_t lastRequest = 0;
    bool leaving = false;
    std::size_t hosts = 1;
    std::string self = "host0";
    // Set while the host stops.
    std::optional<TimePoint> cutOffAt;

    RoutingFixture()
    {
        routes->version = 1;
        state.routing.dataCentre = "a";
    }

    // A route to one service, with idempotent requests or not.
    void addRoute(const std::string &prefix, const std::string &service, bool idempotent)
    {
        Route route;
        route.name = prefix;
        route.host = "h";
        route.pathPrefix = prefix;
        route.idempotent = idempotent;
        route.maxAttempts = 2;
        route.timeout = std::chrono::milliseconds(1000);
        route.targetLatency = std::chrono::milliseconds(120);
        route.split = {{service, 1.0}};
        routes->routes.push_back(route);
        routes->services[service] = {100};
    }

    // A route over the shards "s0", "s1" and so on, with one searcher in each of two data centres.
    void addScattered(std::size_t shards, double minimumCoverage)
    {
        addRoute("/all/", "s0", true);
        Route &route = routes->routes.back();
        route.split.clear();
        route.recordLimit = 2;
        route.minimumCoverage = minimumCoverage;
        for (std::size_t shard = 0; shard < shards; ++shard) {
            const std::string service = "s" + std::to_string(shard);
            route.shards.push_back(service);
            routes->services[service] = {100};
            addSearcher(service + "-near", service, "a");
            addSearcher(service + "-far", service, "b");
        }
    }

    void addSearcher(const std::string &id, const std::string &service, const std::string &dataCentre)
    {
        searchers->entries[id] = {id, service, "10.0.0.1:80", dataCentre, 2, false, {}, 1};
    }

    // Publishes the current routes and searchers to the reducer.
    void publish()
    {
        routes = RefPtr<RouteTable>(new RouteTable(*routes));
        routes->index();
        searchers = RefPtr<SearcherTable>(new SearcherTable(*searchers));
        RefPtr<ControlSnapshot> snapshot(new ControlSnapshot);
        snapshot->routes = routes;
        snapshot->searchers = searchers;
        for (std::size_t host = 0; host < hosts; ++host) {
            snapshot->addresses.push_back({"host" + std::to_string(host), "10.0.0.9:80", "a"});
        }
        snapshot->self = self;
        snapshot->leaving = leaving;
        snapshot->cutOffAt = cutOffAt;
        apply(ControlSnapshotPublished{snapshot});
    }

    void apply(EventBody event)
    {
        effects = reduce(state, Event{now, std::move(event)});
        for (const Effect &effect : effects) {
            if (const auto *timer = std::get_if<StartTimer>(&effect)) {
                timers.push_back(*timer);
            }
        }
    }

    // Advances the time and fires the timers that expire; their effects are collected.
    void advance(Duration time)
    {
        const TimePoint until = now + time;
        Effects collected;
        while (true) {
            const auto next = std::min_element(timers.begin(), timers.end(), [](const StartTimer &a, const StartTimer &b) {
                return a.at < b.at;
            });
            if (next == timers.end() || next->at > until) {
                break;
            }
            const StartTimer timer = *next;
            timers.erase(next);
            now = std::max(now, timer.at);
            apply(TimerFired{timer.timer});
            collected.insert(collected.end(), effects.begin(), effects.end());
        }
        now = until;
        effects = std::move(collected);
    }

    QueryId send(const std::string &target, Duration waited = Duration::zero())
    {
        RefPtr<ClientRequest> request(new ClientRequest);
        request->id = "r" + std::to_string(++lastRequest);
        request->method = "GET";
        request->host = "h";
        request->target = target;
        apply(RequestArrived{QueryId{lastRequest}, request, waited});
        return QueryId{lastRequest};
    }

    // All effects of one kind from the last event or advance.
    template<typename Kind>
    std::vector<Kind> last() const
    {
        std::vector<Kind> found;
        for (const Effect &effect : effects) {
            if (const auto *kind = std::get_if<Kind>(&effect)) {
                found.push_back(*kind);
            }
        }
        return found;
    }

    void reply(AttemptId attempt, ForwardReplyKind kind, const std::string &body = "0123456789abcdef")
    {
        ForwardReply reply;
        reply.kind = kind;
        reply.status = kind == ForwardReplyKind::Success ? 200 : 503;
        reply.signature = "sig" + std::to_string(attempt.value);
        reply.body = body;
        apply(ForwardReplied{attempt, reply});
    }

    void fail(AttemptId attempt, FailureKind kind, bool sent)
    {
        apply(ForwardFailed{attempt, Failure{Step::Wait, "x", kind, {}}, sent});
    }

    std::vector<StartTimer> timers;
};
}
