#include "quetzallift/control/spread.h"

#include "quetzallift/control/gossip.h"
#include "quetzallift/control/rollout.h"
#include "quetzallift/core/reducecontext.h"

namespace Quetzallift
{
namespace
{
// Number of random hosts to which each host announces a new generation; at 4, it reaches 5,800 hosts in about seven
// rounds of 50 ms.
constexpr std::size_t AnnouncementFanout = 4;
// After this time without a reply, the bundle is requested from the next peer that reports a higher generation.
constexpr Duration BundleTimeout = std::chrono::milliseconds(500);
// Prevents fetching a bundle that failed verification again from every peer that holds it.
constexpr Duration RefusedBundleDelay = std::chrono::seconds(10);

bool mayRequestBundle(const ReduceContext &context)
{
    const SpreadState &spread = context.state.control.spread;
    return !spread.bundleRequestedAt || *spread.bundleRequestedAt + BundleTimeout <= context.now;
}
}

void announceGeneration(ReduceContext &context)
{
    ControlState &state = context.state.control;
    if (state.generation <= state.spread.announcedGeneration) {
        return;
    }
    state.spread.announcedGeneration = state.generation;
    announce(context, AnnouncementFanout);
}

void handlePeerGeneration(ReduceContext &context, const PeerMessage &message)
{
    ControlState &state = context.state.control;
    const PeerSender &sender = message.sender;
    if (std::holds_alternative<BundleReply>(message.body)) {
        return;
    }
    if (sender.generation > state.generation && mayRequestBundle(context)) {
        state.spread.bundleRequestedAt = context.now;
        sendToPeer(context, sender.self.peerAddress, BundleRequest{});
    }
    // A probe reply is not answered. Without this announcement, a host with a lower generation would not receive the higher
    // one until it is probed or receives another message.
    if (sender.generation < state.generation && std::holds_alternative<ProbeReply>(message.body)) {
        sendToPeer(context, sender.self.peerAddress, Announcement{});
    }
}

void handleBundleRequest(ReduceContext &context, const PeerSender &sender)
{
    const ControlState &state = context.state.control;
    if (state.bundle && state.generation > sender.generation) {
        sendToPeer(context, sender.self.peerAddress, BundleReply{state.rollout, state.bundle});
    }
}

void handlePeerBundle(ReduceContext &context, const PeerSender &sender, const BundleReply &reply)
{
    SpreadState &spread = context.state.control.spread;
    spread.bundleRequestedAt.reset();
    const bool higher = reply.rollout.generation > context.state.control.generation;
    if (!offerRollout(context, reply.rollout, reply.bundle, sender.self.name) && higher) {
        spread.bundleRequestedAt = context.now + RefusedBundleDelay;
    }
}
}
