#pragma once

#include "quetzallift/model/peermessage.h"

namespace Quetzallift
{
struct ControlState;
struct PlatformReply;
struct ReduceContext;

// The newest epoch whose shares every traffic thread of this host has applied. Messages to peers
// carry it as the acknowledgement.
std::uint64_t acknowledgedSharesEpoch(const ControlState &state);

// Reads the shares object, unless a call about it is pending.
void readShares(ReduceContext &context);

// Settles the current epoch, reminds hosts that have not acknowledged it, and, on a watcher, reads the shares object
// every 30 s or, after a random delay, in order to write a new epoch if the membership changed.
void updateShares(ReduceContext &context);

void handleSharesRead(ReduceContext &context, const PlatformReply &reply);
void handleSharesWritten(ReduceContext &context, const PlatformReply &reply);

// Records the epoch that a peer has acknowledged, and requests the record if that epoch is newer than the local one.
void recordPeerShares(ReduceContext &context, const PeerSender &sender);

// Adopts a record if its epoch is higher than the current one.
void adoptShares(ReduceContext &context, const SharesRecord &record);
}
