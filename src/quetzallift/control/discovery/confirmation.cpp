#include "quetzallift/control/discovery/confirmation.h"

#include "quetzallift/control/discovery/discovery.h"
#include "quetzallift/control/discovery/searchers.h"
#include "quetzallift/control/discovery/storereading.h"
#include "quetzallift/control/discovery/tablesupdate.h"
#include "quetzallift/control/gossip.h"
#include "quetzallift/control/watchers.h"
#include "quetzallift/core/reducecontext.h"

#include <algorithm>
#include <utility>

namespace Quetzallift
{
namespace
{
// A reader answers after its next read, which takes up to its cycle of 1.4 s; a request without an answer is then repeated.
constexpr Duration RequestTimeout = std::chrono::milliseconds(1500);
// A confirmation may overtake the update with the changes that it refers to, which is larger.
constexpr Duration OvertakingTime = std::chrono::milliseconds(400);

// Requests the tables of the sender if confirmations have named an unknown version for some time.
void requestMissing(ReduceContext &context, const PeerSender &sender, bool searchers)
{
    DiscoveryState &discovery = context.state.control.discovery;
    if (!discovery.behindSince) {
        discovery.behindSince = context.now;
    }
    const bool hasTables = discovery.routes && discovery.searchersVersion != 0;
    if (!hasTables || context.now - *discovery.behindSince >= OvertakingTime) {
        requestTables(context, sender.self.peerAddress, searchers);
    }
}
}

void requestConfirmation(ReduceContext &context, const std::string &address)
{
    DiscoveryState &discovery = context.state.control.discovery;
    discovery.confirmationRequestedFrom = address;
    sendToPeer(context, address, ConfirmationRequest{discovery.confirmationRequests.add(context.now)});
}

void pollConfirmation(ReduceContext &context)
{
    const DiscoveryState &discovery = context.state.control.discovery;
    const std::optional<TimePoint> last = discovery.confirmationRequests.lastUnfinished();
    if (last && context.now - *last < RequestTimeout) {
        return;
    }
    if (const Member *reader = firstWatcher(context.state.control)) {
        requestConfirmation(context, reader->info.peerAddress);
    }
}

void confirmTables(ReduceContext &context)
{
    DiscoveryState &discovery = context.state.control.discovery;
    if (!discovery.routes || !discovery.configurationReadAt || !discovery.searchersReadAt || discovery.searchersVersion == 0) {
        return;
    }
    TablesConfirmation confirmation;
    confirmation.age = context.now - std::min(*discovery.configurationReadAt, *discovery.searchersReadAt);
    confirmation.configuration = discovery.routes->version;
    confirmation.configurationVersion = discovery.configurationVersion;
    confirmation.searchersVersion = discovery.searchersVersion;
    confirmation.changedVersion = discovery.changedVersion;
    for (const auto &[address, awaited] : std::exchange(discovery.awaitedConfirmations, {})) {
        confirmation.number = awaited.number;
        confirmation.held = context.now - awaited.arrivedAt;
        sendToPeer(context, address, confirmation);
    }
}

void handleConfirmationRequest(ReduceContext &context, const PeerSender &sender, const ConfirmationRequest &request)
{
    context.state.control.discovery.awaitedConfirmations[sender.self.peerAddress] = {request.number, context.now};
}

void handleTablesConfirmation(ReduceContext &context, const PeerSender &sender, const TablesConfirmation &confirmation)
{
    DiscoveryState &discovery = context.state.control.discovery;
    const std::optional<TimePoint> requestedAt = discovery.confirmationRequests.sentAt(confirmation.number);
    if (!requestedAt) {
        return;
    }
    // The sender composed the confirmation at least `held` after the request was sent; it may have waited since.
    const TimePoint validAt = std::min(context.now, *requestedAt + confirmation.held) - confirmation.age;
    discovery.confirmationRequests.finish(confirmation.number);
    if (!discovery.confirmationRequests.lastUnfinished()) {
        requestConfirmation(context, sender.self.peerAddress);
    }
    const bool searchersKnown = confirmSearchers(context, confirmation, sender.self.name, validAt);
    const bool configurationKnown = discovery.routes && discovery.routes->version >= confirmation.configuration;
    if (!searchersKnown || !configurationKnown) {
        requestMissing(context, sender, !searchersKnown);
        return;
    }
    discovery.behindSince.reset();
    if (discovery.routes->version == confirmation.configuration) {
        discovery.configurationVersion = std::max(discovery.configurationVersion, confirmation.configurationVersion);
    }
    discovery.configurationReadAt = std::max(discovery.configurationReadAt, std::optional(validAt));
    discovery.relayedReadAt = std::max(discovery.relayedReadAt, std::optional(validAt));
}
}
