#pragma once

#include "quetzallift/model/peermessage.h"

namespace Quetzallift
{
struct ControlState;
struct PlatformReply;
struct ReduceContext;

// The epoch whose parts every traffic thread of this host keeps to. Peers take it as an acknowledgement.
std::uint64_t acknowledgedSharesEpoch(const ControlState &state);

// Reads the object.
void readShares(ReduceContext &context);

// Settles the present epoch, reminds hosts that have not acknowledged it, and writes a new one if the membership changed.
void followShares(ReduceContext &context);

void handleSharesRead(ReduceContext &context, const PlatformReply &reply);
void handleSharesWritten(ReduceContext &context, const PlatformReply &reply);

// Notes what a peer has acknowledged, and asks it for an epoch that this host lacks.
void notePeerShares(ReduceContext &context, const PeerSender &sender);

// Takes a record over if its epoch is higher.
void adoptShares(ReduceContext &context, const SharesRecord &record);
}
