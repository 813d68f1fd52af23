#include "quetzallift/routing/hostpool.h"
#include "tests/routing/routingfixture.h"

#include <criterion/criterion.h>

#include <cmath>
#include <set>

using namespace Quetzallift;

namespace
{
constexpr std::size_t DataCentres = 6;
constexpr unsigned SmallCapacity = 120;
constexpr unsigned LargeCapacity = 500;

// Hosts in six data centres, three large ones in each and otherwise small ones.
std::vector<HostAddress> fleetOf(std::size_t count)
{
    std::vector<HostAddress> hosts;
    for (std::size_t number = 0; number < count; ++number) {
        const unsigned capacity = number < 3 * DataCentres ? LargeCapacity : SmallCapacity;
        hosts.push_back({"host" + std::to_string(number), "10.0.0.9:80", std::string(1, static_cast<char>('a' + number % DataCentres)), capacity, false});
    }
    return hosts;
}

std::set<std::string> namesOf(const std::vector<HostAddress> &hosts)
{
    std::set<std::string> names;
    for (const HostAddress &host : hosts) {
        names.insert(host.name);
    }
    return names;
}
}

// Guards against clients that are spread over so many hosts that each has cold connections and parts of limits below one.
Test(hostpool, namesTheHostsWithTheMostProcessorTime)
{
    for (const std::size_t count : {81U, 295U, 1000U}) {
        const std::vector<HostAddress> pool = hostPool(fleetOf(count));
        cr_assert_eq(pool.size(), 3 * DataCentres, "%zu hosts: a pool of %zu", count, pool.size());
        for (const HostAddress &host : pool) {
            cr_assert_eq(host.capacity, LargeCapacity);
        }
    }
}

// Guards against a pool in which a small fleet loses hosts.
Test(hostpool, namesAllHostsOfASmallFleet)
{
    cr_assert_eq(hostPool(fleetOf(8)).size(), 8U);
}

// Guards against a lost host that is not replaced, and against a loss that replaces the whole pool.
Test(hostpool, replacesALostHostByOneOther)
{
    std::vector<HostAddress> hosts = fleetOf(295);
    const std::set<std::string> before = namesOf(hostPool(hosts));
    std::erase_if(hosts, [&before](const HostAddress &host) {
        return host.name == *before.begin();
    });
    const std::set<std::string> after = namesOf(hostPool(hosts));
    cr_assert_eq(after.size(), before.size());
    std::size_t kept = 0;
    for (const std::string &name : after) {
        kept += before.count(name);
    }
    cr_assert_eq(kept, before.size() - 1);
}

// Guards against a pool that stays small under a load that its hosts cannot carry.
Test(hostpool, busyHostsAddHosts)
{
    std::vector<HostAddress> hosts = fleetOf(295);
    for (HostAddress &host : hosts) {
        host.busy = host.capacity == LargeCapacity && host.dataCentre == "a";
    }
    const std::vector<HostAddress> pool = hostPool(hosts);
    const auto inFirst = std::count_if(pool.begin(), pool.end(), [](const HostAddress &host) {
        return host.dataCentre == "a";
    });
    cr_assert_eq(inFirst, 6);
    cr_assert_eq(pool.size(), 3 * DataCentres + 3);
}

// Guards against parts of the fleet's limits that add up to more than the limits.
Test(hostpool, partsAddUpToOne)
{
    for (const std::size_t count : {3U, 8U, 81U, 295U, 1000U}) {
        const std::vector<HostAddress> hosts = fleetOf(count);
        double sum = 0.0;
        for (const HostAddress &host : hosts) {
            sum += fleetShare(hosts, host.name);
        }
        cr_assert_lt(std::abs(sum - 1.0), 1e-9, "%zu hosts: the parts add up to %f", count, sum);
    }
}

// Guards against hundreds of hosts that each keep a connection to a searcher that takes fewer.
Test(hostpool, hostsOutsideKeepNoIdleConnections)
{
    std::size_t keeping = 0;
    unsigned kept = 0;
    constexpr std::size_t Hosts = 295;
    constexpr unsigned ConnectionLimit = 100;
    for (std::size_t number = 0; number < Hosts; ++number) {
        RoutingFixture host;
        host.hosts = Hosts;
        host.self = "host" + std::to_string(number);
        host.addRoute("/one/", "desk", true);
        host.addSearcher("x", "desk", "a");
        host.publish();
        host.send("/one/");
        host.reply(host.last<ForwardRequest>().at(0).attempt, ForwardReplyKind::Success);
        if (host.last<CloseIdleConnections>().empty()) {
            ++keeping;
            kept += host.state.routing.services.at("desk").connections;
        }
    }
    cr_assert_gt(keeping, 0U);
    cr_assert_leq(kept, ConnectionLimit, "%zu hosts keep up to %u connections", keeping, kept);
}

// Guards against a pool host of a large fleet that may not send extra requests, although the fleet's budget is unused.
Test(hostpool, poolHostsCanUseTheBudgetOfExtraRequests)
{
    RoutingFixture host;
    host.hosts = 295;
    std::vector<HostAddress> hosts;
    for (std::size_t number = 0; number < host.hosts; ++number) {
        hosts.push_back({"host" + std::to_string(number), "10.0.0.9:80", "a", 0, false});
    }
    host.self = hostPool(hosts).front().name;
    host.state.routing.allowance = {0.2, 600.0, std::chrono::seconds(10)};
    host.addRoute("/one/", "desk", true);
    for (const char *id : {"x", "y", "z"}) {
        host.addSearcher(id, "desk", "a");
    }
    host.publish();
    constexpr int Requests = 20;
    int retried = 0;
    for (int round = 0; round < Requests; ++round) {
        host.send("/one/");
        host.reply(host.last<ForwardRequest>().at(0).attempt, ForwardReplyKind::NotExecuted);
        const std::vector<ForwardRequest> again = host.last<ForwardRequest>();
        retried += static_cast<int>(again.size());
        if (!again.empty()) {
            host.reply(again.at(0).attempt, ForwardReplyKind::Success);
        }
    }
    cr_assert_eq(retried, Requests, "%d of %d rejected requests were sent again", retried, Requests);
}

// Guards against a host whose requests wait for the processor while other hosts are idle, and against one that stays busy.
Test(hostpool, reportsThatRequestsWait)
{
    RoutingFixture host;
    host.addRoute("/one/", "desk", true);
    host.addSearcher("x", "desk", "a");
    host.publish();
    std::vector<bool> reports;
    const auto collect = [&] {
        for (const ReportBusy &report : host.last<ReportBusy>()) {
            reports.push_back(report.busy);
        }
    };
    for (int round = 0; round < 10; ++round) {
        host.send("/one/");
        const QueryId request{host.lastRequest};
        host.now += std::chrono::milliseconds(100);
        host.apply(TimerFired{{TimerKind::DispatchTimeout, request.value}});
        collect();
        host.advance(std::chrono::seconds(1));
        collect();
    }
    cr_assert_eq(reports.size(), 1U);
    cr_assert(reports.front());
    host.advance(std::chrono::seconds(20));
    collect();
    cr_assert_eq(reports.size(), 2U);
    cr_assert_not(reports.back());
}
