#pragma once

#include "quetzallift/model/peermessage.h"

namespace Quetzallift
{
struct ReduceContext;

// The configuration in a peer's document, or null if the document cannot be read, as from a peer of another version.
RouteTablePtr parsePeerDocument(ReduceContext &context, const PeerSender &sender, const std::string &document);

// Schedules the next check whether a peer must be polled.
void schedulePeerTablesPoll(ReduceContext &context);

// Requests routes and searchers from a peer if this host has none, or if its searchers were not confirmed within three
// seconds.
void pollPeerTables(ReduceContext &context);
}
