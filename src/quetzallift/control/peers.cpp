#include "quetzallift/control/discovery/discovery.h"
#include "quetzallift/control/gossip.h"
#include "quetzallift/control/handlers.h"
#include "quetzallift/control/membership.h"
#include "quetzallift/control/probing.h"
#include "quetzallift/control/shares.h"
#include "quetzallift/control/spread.h"
#include "quetzallift/control/sync.h"
#include "quetzallift/core/reducecontext.h"

namespace Quetzallift
{
namespace
{
// Time after the start of this host or a reset of its table during which it does not gossip what senders report about
// themselves.
constexpr Duration JoinDuration = std::chrono::minutes(1);

// Calls the handler of each kind of message.
struct PeerDispatcher {
    ReduceContext &context;
    const PeerSender &sender;

    void operator()(const Probe &body)
    {
        handleProbe(context, sender, body);
    }
    void operator()(const ProbeReply &body)
    {
        handleProbeReply(context, body);
    }
    void operator()(const IndirectProbe &body)
    {
        handleIndirectProbe(context, sender, body);
    }
    void operator()(const Announcement &body)
    {
        if (body.replyWanted) {
            sendToPeer(context, sender.self.peerAddress, Announcement{});
        }
    }
    void operator()(const BundleRequest &)
    {
        handleBundleRequest(context, sender);
    }
    void operator()(const BundleReply &body)
    {
        handlePeerBundle(context, sender, body);
    }
    void operator()(const SharesRequest &)
    {
        sendToPeer(context, sender.self.peerAddress, SharesReply{context.state.control.shares.record});
    }
    void operator()(const SharesReply &body)
    {
        if (sender.self.cell == context.state.control.self.cell) {
            adoptShares(context, body.shares);
        }
    }
    void operator()(const SyncRequest &body)
    {
        handleSyncRequest(context, sender, body);
    }
    void operator()(const SyncReply &body)
    {
        handleSyncReply(context, sender, body);
    }
    void operator()(const TablesRequest &body)
    {
        handleTablesRequest(context, sender, body);
    }
    void operator()(const TablesReply &body)
    {
        handleTablesReply(context, sender, body);
    }
    void operator()(const TablesUpdate &body)
    {
        handleTablesUpdate(context, sender, body);
    }
    void operator()(const ConfirmationRequest &body)
    {
        handleConfirmationRequest(context, sender, body);
    }
    void operator()(const TablesConfirmation &body)
    {
        handleTablesConfirmation(context, sender, body);
    }
};

// Applies the update of the sender about itself, and marks the sender for correction if a newer update is known.
void recordSender(ReduceContext &context, const MemberUpdate &self)
{
    MembershipState &fleet = context.state.control.fleet;
    const bool alone = fleet.members.empty();
    // A host that has just started receives messages from hosts that the rest of the fleet already knows.
    const bool joining = context.now < fleet.startedAt + JoinDuration;
    applyUpdate(context, self, joining ? Propagation::LocalOnly : Propagation::Gossip);
    const auto found = fleet.members.find(self.name);
    if (found != fleet.members.end()) {
        found->second.needsCorrection = supersedes(found->second.info, self);
    }
    if (alone && !fleet.members.empty()) {
        // The first host discovered knows the other hosts.
        syncWithRandomPeer(context);
    }
}
}

void handlePeerMessage(ReduceContext &context, const PeerMessageArrived &event)
{
    const PeerMessage &message = event.message;
    // A message with this host's name comes from an earlier process or from a host with the same settings.
    if (message.sender.self.name == context.state.control.fleet.self.name || message.sender.self.peerAddress.empty()) {
        return;
    }
    recordSender(context, message.sender.self);
    for (const MemberUpdate &update : message.updates) {
        applyUpdate(context, update);
    }
    recordPeerShares(context, message.sender);
    handlePeerGeneration(context, message);
    std::visit(PeerDispatcher{context, message.sender}, message.body);
}
}
