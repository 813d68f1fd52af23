#pragma once

#include "quetzallift/model/peermessage.h"

namespace Quetzallift
{
struct ReduceContext;

// Tells a few random hosts of a generation that was just adopted.
void announceGeneration(ReduceContext &context);

// Asks the sender for its bundle if its generation is higher, and tells it of the own one if it is lower.
void notePeerGeneration(ReduceContext &context, const PeerMessage &message);

// Passes the bundle in force on.
void handleBundleRequest(ReduceContext &context, const PeerSender &sender);

// Offers a peer's bundle for adoption.
void handlePeerBundle(ReduceContext &context, const PeerSender &sender, const BundleReply &reply);
}
