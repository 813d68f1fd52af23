#pragma once

#include "quetzallift/model/peermessage.h"
#include "quetzallift/model/platform.h"

#include <cstdint>
#include <map>
#include <string>

namespace Quetzallift
{
struct ReduceContext;

// Lists the searchers, or watches for changes since the last known version.
void watchSearchers(ReduceContext &context);

// Applies changes that another host read from the store. Returns false if they do not apply to the version of the searchers known
// here, or if no version is known.
bool applySearcherChanges(ReduceContext &context, const TablesUpdate &update);

// Records that the named host confirms the searchers known here for the given time. Returns false if it knows newer ones.
bool confirmSearchers(ReduceContext &context, const TablesConfirmation &confirmation, const std::string &source, TimePoint validAt);

// Replaces the searchers by those of a peer, which read them from the store at the given time. Searchers that the peer is about
// to drop are dropped here no later, and are not taken over if this host has dropped them already.
void applyPeerSearchers(ReduceContext &context, const TablesReply &reply, TimePoint readAt);

// Returns how much longer each searcher is kept whose entry disappeared around an outage.
std::map<std::string, Duration> remainingGrace(const ReduceContext &context);

// Removes searchers whose entries disappeared around an outage and were not registered again in time.
void expireSearchers(ReduceContext &context);

// Publishes the searchers to the traffic threads if they changed.
void publishSearchers(ReduceContext &context);
}
