#pragma once

#include "quetzallift/core/timerkey.h"
#include "quetzallift/model/peermessage.h"
#include "quetzallift/model/platform.h"
#include "quetzallift/model/time.h"

namespace Quetzallift
{
struct ReduceContext;

// Starts watching the configuration of routes and the searchers, and adds this host to the host list.
void startDiscovery(ReduceContext &context);

// Handles an expired discovery timer.
void handleDiscoveryTimer(ReduceContext &context, TimerKind kind);

// Adopts the configuration in the reply if it is newer, and watches for the next version. The reply holds for the given time.
void handleConfigurationReply(ReduceContext &context, const PlatformReply &reply, TimePoint validAt);

// Applies a page of the list of searchers and requests the next page or, after the last page, the changes since the first
// page was read.
void handleSearcherList(ReduceContext &context, const PlatformReply &reply, TimePoint validAt);

// Applies changes of searchers and requests the changes after them.
void handleSearcherChanges(ReduceContext &context, const PlatformReply &reply, TimePoint validAt);

// Stores the version of this host's entry, or schedules another write of the entry.
void handleHostRegistered(ReduceContext &context, const PlatformReply &reply);

// Deletes this host's entry from the host list.
void removeHostEntry(ReduceContext &context);

// Sends this host's routes and searchers to a peer.
void handleTablesRequest(ReduceContext &context, const PeerSender &sender, const TablesRequest &request);

// Applies the routes and searchers of a peer if they are newer.
void handleTablesReply(ReduceContext &context, const PeerSender &sender, const TablesReply &reply);

// Applies changes that a peer read from the store. Requests the peer's tables if the changes do not fit the version known here.
void handleTablesUpdate(ReduceContext &context, const PeerSender &sender, const TablesUpdate &update);

// Notes that the peer waits for a confirmation of its tables after this host's next read of the store.
void handleConfirmationRequest(ReduceContext &context, const PeerSender &sender, const ConfirmationRequest &request);

// Records for which time the peer confirms the tables of this host, or requests the peer's tables if they are newer.
void handleTablesConfirmation(ReduceContext &context, const PeerSender &sender, const TablesConfirmation &confirmation);
}
