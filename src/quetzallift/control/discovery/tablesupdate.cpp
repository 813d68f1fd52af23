#include "quetzallift/control/discovery/tablesupdate.h"

#include "quetzallift/control/discovery/discovery.h"
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
// The tables of a large deployment are about 100 kB; they are not requested again while a reply may be in transit.
constexpr Duration RequestInterval = std::chrono::milliseconds(300);

void requestTables(ReduceContext &context, const PeerSender &sender, bool searchers)
{
    DiscoveryState &discovery = context.state.control.discovery;
    if (context.now < discovery.tablesRequestedAt + RequestInterval) {
        return;
    }
    discovery.tablesRequestedAt = context.now;
    sendToPeer(context, sender.self.peerAddress, TablesRequest{discovery.routes ? discovery.routes->version : 0, searchers});
}
}

void relayTables(ReduceContext &context, std::uint64_t from, const SearcherPage &changes)
{
    const ControlState &state = context.state.control;
    const DiscoveryState &discovery = state.discovery;
    if (!isStoreReader(context) || !discovery.routes || !discovery.configurationReadAt || !discovery.searchersReadAt) {
        return;
    }
    TablesUpdate update;
    update.configuration = discovery.routes->version;
    update.configurationVersion = discovery.configurationVersion;
    update.from = from;
    update.to = discovery.searchersVersion;
    update.changes = changes;
    update.age = context.now - std::min(*discovery.configurationReadAt, *discovery.searchersReadAt);
    for (const auto &[name, member] : state.fleet.members) {
        if (isServing(member) && member.info.dataCentre == state.fleet.self.dataCentre) {
            sendToMember(context, member, update);
        }
    }
}

void handleTablesUpdate(ReduceContext &context, const PeerSender &sender, const TablesUpdate &update)
{
    DiscoveryState &discovery = context.state.control.discovery;
    const TimePoint readAt = context.now - update.age;
    const bool searchersApplied = applySearcherChanges(context, update.from, update.to, update.changes, readAt);
    const bool configurationKnown = discovery.routes && discovery.routes->version >= update.configuration;
    if (!searchersApplied || !configurationKnown) {
        requestTables(context, sender, !searchersApplied);
        return;
    }
    if (discovery.routes->version == update.configuration) {
        discovery.configurationVersion = std::max(discovery.configurationVersion, update.configurationVersion);
    }
    discovery.configurationReadAt = std::max(discovery.configurationReadAt, std::optional(readAt));
    discovery.relayedReadAt = std::max(discovery.relayedReadAt, std::optional(readAt));
}
}
