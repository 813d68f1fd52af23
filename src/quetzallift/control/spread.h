#pragma once

#include "quetzallift/model/peermessage.h"

namespace Quetzallift
{
struct ReduceContext;

// Announces a newly adopted generation to a few random hosts.
void announceGeneration(ReduceContext &context);

// Requests the bundle of a sender with a higher generation, and sends an announcement, which carries the generation of
// this host, in answer to a probe reply with a lower generation.
void handlePeerGeneration(ReduceContext &context, const PeerMessage &message);

// Sends the bundle in force to a sender with a lower generation.
void handleBundleRequest(ReduceContext &context, const PeerSender &sender);

// Adopts a peer's bundle if its generation is higher and verification passes.
void handlePeerBundle(ReduceContext &context, const PeerSender &sender, const BundleReply &reply);
}
