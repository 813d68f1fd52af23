#pragma once

#include "quetzallift/model/peermessage.h"

namespace Quetzallift
{
struct MembershipState;
struct ReduceContext;

// True for 20 s after the start of this host or a reset of its table, while it may not know all hosts yet.
bool isJoining(const MembershipState &fleet, TimePoint now);

// Sends the hashes of the membership table to a random host, which replies with its members in the buckets
// that differ.
void syncWithRandomPeer(ReduceContext &context);

// Answers with the known members of the buckets that differ.
void handleSyncRequest(ReduceContext &context, const PeerSender &sender, const SyncRequest &request);

// Applies the members of the reply. While this host is joining, it requests more as long as buckets differ or replies
// bring changes.
void handleSyncReply(ReduceContext &context, const PeerSender &sender, const SyncReply &reply);
}
