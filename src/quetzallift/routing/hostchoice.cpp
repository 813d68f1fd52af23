#include "quetzallift/routing/hostchoice.h"

#include "quetzallift/routing/hostpool.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <set>

namespace Quetzallift
{
namespace
{
// Clients use at most this number of addresses of one answer.
constexpr std::size_t MaximumAddresses = 64;
// A data centre counts as complete if it has searchers of this fraction of the services; the rest may be
// restarting.
constexpr double CompleteFraction = 0.8;

// The data centres in which nearly every service of scattered routes has a searcher.
std::set<std::string> completeDataCentres(const ControlSnapshot &control)
{
    std::set<std::string> needed;
    for (const Route &route : control.routes->routes) {
        needed.insert(route.shards.begin(), route.shards.end());
    }
    std::map<std::string, std::set<std::string>> servicesOf;
    for (const auto &[id, searcher] : control.searchers->entries) {
        if (!searcher.draining && needed.contains(searcher.service)) {
            servicesOf[searcher.dataCentre].insert(searcher.service);
        }
    }
    std::set<std::string> complete;
    for (const auto &[dataCentre, services] : servicesOf) {
        if (static_cast<double>(services.size()) >= CompleteFraction * static_cast<double>(needed.size())) {
            complete.insert(dataCentre);
        }
    }
    return complete;
}

std::vector<HostAddress> hostsIn(const std::vector<HostAddress> &pool, const std::set<std::string> &dataCentres)
{
    std::vector<HostAddress> hosts;
    std::copy_if(pool.begin(), pool.end(), std::back_inserter(hosts), [&dataCentres](const HostAddress &host) {
        return dataCentres.contains(host.dataCentre);
    });
    return hosts;
}

// The given data centres that are in the same region as `dataCentre`.
std::set<std::string> inSameRegion(const ControlSnapshot &control, const std::string &dataCentre, const std::set<std::string> &dataCentres)
{
    std::set<std::string> same;
    const auto region = control.regions.find(dataCentre);
    for (const std::string &candidate : dataCentres) {
        const auto other = control.regions.find(candidate);
        if (region != control.regions.end() && other != control.regions.end() && other->second == region->second) {
            same.insert(candidate);
        }
    }
    return same;
}
}

std::vector<HostAddress> hostsForClients(const ControlSnapshot &control, const std::string &dataCentre)
{
    const std::vector<HostAddress> pool = hostPool(control.addresses);
    std::vector<HostAddress> hosts;
    if (control.routes && control.searchers) {
        const std::set<std::string> complete = completeDataCentres(control);
        // Without a complete data centre, parts cross data centres in any case; a local host at least shortens the
        // client's path.
        const bool useLocal = complete.empty() || complete.contains(dataCentre);
        hosts = hostsIn(pool, useLocal ? std::set<std::string>{dataCentre} : inSameRegion(control, dataCentre, complete));
        if (hosts.empty()) {
            hosts = hostsIn(pool, complete);
        }
    }
    if (hosts.empty()) {
        hosts = pool;
    }
    hosts.resize(std::min(hosts.size(), MaximumAddresses));
    return hosts;
}
}
