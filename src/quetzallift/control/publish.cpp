#include "quetzallift/control/publish.h"

#include "quetzallift/control/addresses.h"
#include "quetzallift/control/sharesplan.h"
#include "quetzallift/core/reducecontext.h"

#include <algorithm>

namespace Quetzallift
{
namespace
{
void addShares(const ControlState &state, ControlSnapshot &snapshot)
{
    const SharesHost self{state.fleet.self.name, state.fleet.self.incarnation.process};
    snapshot.sharesEpoch = state.shares.record.current.epoch;
    if (!state.bundle) {
        return;
    }
    for (const auto &[name, backEnd] : state.bundle->backEnds) {
        for (const auto &[address, searcher] : backEnd.searchers) {
            // A host that has stopped reports to peers that its share is free, and so must not keep idle connections.
            const bool usable = searcher.cell == state.self.cell && !state.stop.ended;
            snapshot.connectionShares[address] = usable ? usableShare(state.shares.record, state.shares.settled, self, searcher) : 0;
        }
    }
}
}

std::set<std::string> leavingSearchers(const ControlState &state)
{
    std::set<std::string> leaving;
    if (!state.bundle) {
        return leaving;
    }
    for (const ListedHost &host : state.hostList.hosts) {
        const bool listed = host.leaving && std::any_of(state.bundle->backEnds.begin(), state.bundle->backEnds.end(), [&](const auto &backEnd) {
                                return backEnd.second.searchers.contains(host.address);
                            });
        if (listed) {
            leaving.insert(host.address);
        }
    }
    return leaving;
}

void publishSnapshot(ReduceContext &context)
{
    ControlState &state = context.state.control;
    state.spread.publishedVersion = state.fleet.version;
    if (!state.bundle && !state.discovery.routes) {
        return;
    }
    RefPtr<ControlSnapshot> snapshot(new ControlSnapshot);
    snapshot->generation = state.generation;
    snapshot->bundle = state.bundle;
    snapshot->routes = state.discovery.routes;
    snapshot->searchers = state.discovery.published;
    snapshot->adoptedAt = state.adoptedAt;
    snapshot->platformReachable = state.platformFailures == 0;
    snapshot->platformSince = state.platformSince;
    snapshot->leaving = state.stop.requested;
    snapshot->cutOffAt = state.stop.cutOffAt;
    snapshot->self = state.self.name;
    snapshot->addresses = usableAddresses(state);
    snapshot->addressesVersion = addressesVersion(snapshot->addresses);
    snapshot->regions = state.self.regions;
    snapshot->addressesTtl = state.self.reloadable.addressesTtl;
    snapshot->leavingSearchers = leavingSearchers(state);
    addShares(state, *snapshot);
    context.emit(PublishControlSnapshot{snapshot});
}

void publishChanges(ReduceContext &context)
{
    if (context.state.control.spread.publishedVersion != context.state.control.fleet.version) {
        publishSnapshot(context);
    }
}
}
