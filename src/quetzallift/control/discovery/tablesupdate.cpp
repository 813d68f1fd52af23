#include "quetzallift/control/discovery/tablesupdate.h"

#include "quetzallift/control/discovery/configuration.h"
#include "quetzallift/control/discovery/confirmation.h"
#include "quetzallift/control/discovery/discovery.h"
#include "quetzallift/control/discovery/relay.h"
#include "quetzallift/control/discovery/searchers.h"
#include "quetzallift/control/discovery/storereading.h"
#include "quetzallift/control/gossip.h"
#include "quetzallift/control/membership.h"
#include "quetzallift/core/reducecontext.h"

#include <algorithm>

namespace Quetzallift
{
namespace
{
// The tables of a large deployment are about 300 kB; they are not requested again while a reply may be in transit.
constexpr Duration RequestInterval = std::chrono::milliseconds(300);

void relay(ReduceContext &context, std::uint64_t from, std::uint64_t upTo, const SearcherPage &changes)
{
    const ControlState &state = context.state.control;
    DiscoveryState &discovery = context.state.control.discovery;
    if (!isStoreReader(context) || !discovery.routes) {
        return;
    }
    TablesUpdate update;
    update.configuration = discovery.routes->version;
    update.configurationVersion = discovery.configurationVersion;
    if (discovery.relayedConfiguration < update.configuration) {
        update.document = discovery.routes->document;
        discovery.relayedConfiguration = update.configuration;
    }
    update.from = from;
    update.upTo = upTo;
    update.to = discovery.searchersVersion;
    update.changes = changes;
    update.grace = std::max(discovery.outageGraceUntil - context.now, Duration::zero());
    std::vector<std::string> addresses;
    for (const auto &[name, member] : state.fleet.members) {
        if (isServing(member) && member.info.dataCentre == state.fleet.self.dataCentre) {
            addresses.push_back(member.info.peerAddress);
        }
    }
    broadcast(context, std::move(addresses), std::move(update));
}
}

void relaySearchers(ReduceContext &context, std::uint64_t from, std::uint64_t upTo, const SearcherPage &changes)
{
    if (!changes.entries.empty() || !changes.removed.empty()) {
        relay(context, from, upTo, changes);
    }
}

void relayConfiguration(ReduceContext &context)
{
    const DiscoveryState &discovery = context.state.control.discovery;
    if (discovery.routes && discovery.relayedConfiguration < discovery.routes->version) {
        relay(context, discovery.searchersVersion, discovery.searchersVersion, {});
    }
}

void requestTables(ReduceContext &context, const std::string &address, bool searchers)
{
    DiscoveryState &discovery = context.state.control.discovery;
    if (context.now < discovery.tablesRequestedAt + RequestInterval) {
        return;
    }
    discovery.tablesRequestedAt = context.now;
    sendToPeer(context, address, TablesRequest{discovery.routes ? discovery.routes->version : 0, searchers, discovery.tablesRequests.add(context.now)});
}

void handleTablesUpdate(ReduceContext &context, const PeerSender &sender, const TablesUpdate &update)
{
    DiscoveryState &discovery = context.state.control.discovery;
    const RouteTablePtr routes = update.document.empty() ? nullptr : parsePeerDocument(context, sender, update.document);
    if (routes && adoptConfiguration(context, routes, sender.self.name)) {
        discovery.configurationVersion = update.configurationVersion;
    }
    const bool searchersApplied = applySearcherChanges(context, update);
    const bool configurationKnown = discovery.routes && discovery.routes->version >= update.configuration;
    if (!searchersApplied || !configurationKnown) {
        requestTables(context, sender.self.peerAddress, !searchersApplied);
    }
    if (discovery.confirmationRequestedFrom != sender.self.peerAddress) {
        requestConfirmation(context, sender.self.peerAddress);
    }
}
}
