#include "quetzallift/control/addresses.h"

#include "quetzallift/control/controlstate.h"
#include "quetzallift/control/membership.h"
#include "quetzallift/model/rendezvous.h"

#include <algorithm>
#include <set>

namespace Quetzallift
{
namespace
{
// Enough to survive the loss of a rack; the whole list of a large fleet would take half a megabyte for each caller.
constexpr std::size_t NearAddresses = 12;
constexpr std::size_t FarAddresses = 8;
// Versions stay exact in callers that represent numbers as doubles.
constexpr std::uint64_t VersionMask = (std::uint64_t{1} << 53U) - 1;

// Orders the hosts by their rendezvous weight for the caller and keeps the first ones, up to the limit.
void rank(std::vector<HostAddress> &hosts, const std::string &caller, std::size_t limit)
{
    std::vector<std::pair<std::uint64_t, std::size_t>> order;
    for (std::size_t index = 0; index < hosts.size(); ++index) {
        order.emplace_back(rendezvousWeight(caller, hosts[index].name), index);
    }
    const std::size_t count = std::min(limit, order.size());
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count), order.end(), std::greater<>());
    std::vector<HostAddress> ranked;
    for (std::size_t place = 0; place < count; ++place) {
        ranked.push_back(std::move(hosts[order[place].second]));
    }
    hosts = std::move(ranked);
}
}

std::vector<HostAddress> usableAddresses(const ControlState &state)
{
    std::set<std::string> holders;
    for (const SharesHost &host : state.shares.record.current.hosts) {
        holders.insert(host.name);
    }
    std::vector<HostAddress> all;
    std::vector<HostAddress> holding;
    const auto add = [&](const MemberUpdate &info) {
        all.push_back({info.name, info.address, info.dataCentre, info.capacity, info.busy});
        // Hosts of other cells hold shares of the searchers of their own cell, which this host does not track.
        if (holders.contains(info.name) || info.cell != state.self.cell) {
            holding.push_back(all.back());
        }
    };
    if (state.fleet.self.status == MemberStatus::Live && !state.stop.requested) {
        add(state.fleet.self);
    }
    for (const auto &[name, member] : state.fleet.members) {
        if (isServing(member)) {
            add(member.info);
        }
    }
    std::vector<HostAddress> &chosen = holding.empty() ? all : holding;
    std::sort(chosen.begin(), chosen.end(), [](const HostAddress &a, const HostAddress &b) {
        return a.name < b.name;
    });
    return chosen;
}

std::uint64_t addressesVersion(const std::vector<HostAddress> &addresses)
{
    std::uint64_t version = 0;
    for (const HostAddress &host : addresses) {
        version += rendezvousWeight(host.address, host.name);
    }
    return version & VersionMask;
}

std::vector<HostAddress> addressesFor(const ControlSnapshot &control, const std::string &dataCentre, const std::string &caller)
{
    std::vector<HostAddress> near;
    std::vector<HostAddress> far;
    for (const HostAddress &host : control.addresses) {
        (host.dataCentre == dataCentre ? near : far).push_back(host);
    }
    rank(near, caller, NearAddresses);
    rank(far, caller, FarAddresses);
    near.insert(near.end(), std::make_move_iterator(far.begin()), std::make_move_iterator(far.end()));
    return near;
}
}
