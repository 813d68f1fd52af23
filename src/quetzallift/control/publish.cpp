#include "quetzallift/control/publish.h"

#include "quetzallift/core/reducecontext.h"

namespace Quetzallift
{
namespace
{
std::vector<HostAddress> usableAddresses(const ControlState &state)
{
    std::vector<HostAddress> addresses;
    if (!state.stopping) {
        addresses.push_back({state.self.name, state.self.address, state.self.dataCentre});
    }
    for (const ListedHost &host : state.hostList.hosts) {
        if (!host.leaving && host.name != state.self.name) {
            addresses.push_back({host.name, host.address, host.dataCentre});
        }
    }
    return addresses;
}

// An even part of a searcher's connection limit; at least one, without which this host could send it no work.
unsigned connectionShare(const Searcher &searcher, std::size_t hosts)
{
    const auto share = static_cast<unsigned>(searcher.connectionLimit / std::max<std::size_t>(hosts, 1));
    return std::max(share, 1U);
}
}

void publish(ReduceContext &context)
{
    ControlState &state = context.state.control;
    if (!state.bundle) {
        return;
    }
    RefPtr<ControlSnapshot> snapshot(new ControlSnapshot);
    snapshot->generation = state.generation;
    snapshot->bundle = state.bundle;
    snapshot->adoptedAt = state.adoptedAt;
    snapshot->platformReachable = state.platformFailures == 0;
    snapshot->platformSince = state.platformSince;
    snapshot->leaving = state.stopping;
    snapshot->addresses = usableAddresses(state);
    snapshot->addressesVersion = ++state.addressesVersion;
    for (const auto &[name, backEnd] : state.bundle->backEnds) {
        for (const auto &[address, searcher] : backEnd.searchers) {
            snapshot->connectionShares[address] = connectionShare(searcher, snapshot->addresses.size());
        }
    }
    context.emit(PublishControlSnapshot{snapshot});
}
}
