#include "quetzallift/routing/hostpool.h"

#include "quetzallift/model/rendezvous.h"

#include <algorithm>
#include <map>
#include <utility>

namespace Quetzallift
{
namespace
{
// Clients of a data centre still have a host if two are lost, until the address list is replaced.
constexpr std::size_t MinimumIdleHosts = 3;
// The part of the fleet's limits that belongs to all hosts outside of the pools together.
constexpr double OutsideShare = 0.2;

// Appends the pool of one data centre.
void appendPool(std::vector<HostAddress> &pool, const std::string &dataCentre, const std::vector<HostAddress> &hosts)
{
    std::vector<std::pair<std::pair<unsigned, std::uint64_t>, const HostAddress *>> ranked;
    ranked.reserve(hosts.size());
    for (const HostAddress &host : hosts) {
        ranked.push_back({{host.capacity, rendezvousWeight(dataCentre, host.name)}, &host});
    }
    std::sort(ranked.begin(), ranked.end(), std::greater<>());
    std::size_t idle = 0;
    for (const auto &[rank, host] : ranked) {
        if (idle == MinimumIdleHosts) {
            break;
        }
        idle += host->busy ? 0 : 1;
        pool.push_back(*host);
    }
}
}

std::vector<HostAddress> hostPool(const std::vector<HostAddress> &hosts)
{
    std::map<std::string, std::vector<HostAddress>> byDataCentre;
    for (const HostAddress &host : hosts) {
        byDataCentre[host.dataCentre].push_back(host);
    }
    std::vector<HostAddress> pool;
    for (const auto &[dataCentre, members] : byDataCentre) {
        appendPool(pool, dataCentre, members);
    }
    return pool;
}

double fleetShare(const std::vector<HostAddress> &hosts, const std::string &self)
{
    const std::vector<HostAddress> pool = hostPool(hosts);
    const auto isSelf = [&self](const HostAddress &host) {
        return host.name == self;
    };
    const bool listed = std::any_of(hosts.begin(), hosts.end(), isSelf);
    const bool pooled = std::any_of(pool.begin(), pool.end(), isSelf);
    // A host that is leaving is not listed any more, but still serves.
    const std::size_t outside = hosts.size() - pool.size() + (listed ? 0 : 1);
    if (pool.empty()) {
        return 1.0;
    }
    if (hosts.size() == pool.size()) {
        return 1.0 / static_cast<double>(pool.size() + (listed ? 0 : 1));
    }
    return pooled ? (1.0 - OutsideShare) / static_cast<double>(pool.size()) : OutsideShare / static_cast<double>(outside);
}
}
