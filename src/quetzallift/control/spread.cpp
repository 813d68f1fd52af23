#include "quetzallift/control/spread.h"

#include "quetzallift/control/gossip.h"
#include "quetzallift/control/rollout.h"
#include "quetzallift/core/reducecontext.h"

namespace Quetzallift
{
namespace
{
// Each host tells this many others, so that a generation reaches 5,800 hosts in about seven rounds of 50 ms.
constexpr std::size_t Fanout = 4;
// A peer that has not sent its bundle after this time is given up, and the next that names the generation is asked.
constexpr Duration BundleTimeout = std::chrono::milliseconds(500);
// A bundle that failed verification is not fetched again from every peer that has it.
constexpr Duration RefusedPause = std::chrono::seconds(10);

bool mayAsk(const ReduceContext &context)
{
    const SpreadState &spread = context.state.control.spread;
    return !spread.askedAt || *spread.askedAt + BundleTimeout <= context.now;
}
}

void announceGeneration(ReduceContext &context)
{
    ControlState &state = context.state.control;
    if (state.generation <= state.spread.announced) {
        return;
    }
    state.spread.announced = state.generation;
    announce(context, Fanout);
}

void notePeerGeneration(ReduceContext &context, const PeerMessage &message)
{
    ControlState &state = context.state.control;
    const PeerSender &sender = message.sender;
    if (std::holds_alternative<BundleReply>(message.body)) {
        return;
    }
    if (sender.generation > state.generation && mayAsk(context)) {
        state.spread.askedAt = context.now;
        sendToPeer(context, sender.self.peerAddress, BundleRequest{});
    }
    // The answer to a probe gets no answer of its own; without this, a host behind would wait to be probed.
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
    spread.askedAt.reset();
    const bool higher = reply.rollout.generation > context.state.control.generation;
    if (!offerRollout(context, reply.rollout, reply.bundle, sender.self.name) && higher) {
        spread.askedAt = context.now + RefusedPause;
    }
}
}
