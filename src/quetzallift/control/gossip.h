#pragma once

#include "quetzallift/model/peermessage.h"

namespace Quetzallift
{
struct Member;
struct ReduceContext;

// Sends a message to an address, with the header of this host and statements that ride along.
void sendToPeer(ReduceContext &context, const std::string &address, PeerMessageBody body);

// The same to a known host, which is also told what is believed of it if that is not that it lives.
void sendToMember(ReduceContext &context, const Member &member, PeerMessageBody body);

// Sends an announcement to a few random hosts at once, without waiting for the next probe.
void announce(ReduceContext &context, std::size_t count);
}
