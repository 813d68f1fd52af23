#pragma once

#include "quetzallift/model/peermessage.h"

namespace Quetzallift
{
struct MembershipState;
struct ReduceContext;

// True while this host has not run for long, and may not know all others yet.
bool isJoining(const MembershipState &fleet, TimePoint now);

// Compares the membership table with that of one random host.
void syncWithRandomPeer(ReduceContext &context);

// Answers with what this host knows in buckets that differ.
void handleSyncRequest(ReduceContext &context, const PeerSender &sender, const SyncRequest &request);

// Takes over what the peer knows more, and goes on while more buckets differ.
void handleSyncReply(ReduceContext &context, const PeerSender &sender, const SyncReply &reply);
}
