#pragma once

#include "quetzallift/model/peermessage.h"

namespace Quetzallift
{
struct Member;
struct ReduceContext;

// Sends a message to an address, with this host's sender header and piggybacked membership updates.
void sendToPeer(ReduceContext &context, const std::string &address, PeerMessageBody body);

// Sends a message to a known host as sendToPeer does. It also carries the update known about that host if the host is
// suspect, gone or sent an older update about itself, so that the host can refute it.
void sendToMember(ReduceContext &context, const Member &member, PeerMessageBody body);

// Sends one message to all of the addresses, encoded once.
void broadcast(ReduceContext &context, std::vector<std::string> addresses, PeerMessageBody body);

// Sends an announcement to up to count random hosts immediately, without waiting for the next probe.
void announce(ReduceContext &context, std::size_t count);
}
