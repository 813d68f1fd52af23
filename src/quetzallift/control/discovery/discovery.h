#pragma once

#include "quetzallift/core/timerkey.h"
#include "quetzallift/model/peermessage.h"
#include "quetzallift/model/platform.h"

namespace Quetzallift
{
struct ReduceContext;

// Starts to follow the configuration of routes and the searchers, and enters this host in the host list.
void startDiscovery(ReduceContext &context);

// Continues what a timer put off.
void handleDiscoveryTimer(ReduceContext &context, TimerKind kind);

// Adopts a newer configuration and watches for the next one.
void handleConfigurationReply(ReduceContext &context, const PlatformReply &reply);

// Takes a page of the list of searchers over and asks for the next one, or for the changes that follow.
void handleSearcherList(ReduceContext &context, const PlatformReply &reply);

// Takes changes of searchers over and asks for those that follow.
void handleSearcherChanges(ReduceContext &context, const PlatformReply &reply);

// Remembers the version of this host's entry, or writes it again.
void handleHostRegistered(ReduceContext &context, const PlatformReply &reply);

// Deletes this host's entry from the host list.
void removeHostEntry(ReduceContext &context);

// Tells a peer what this host knows of routes and searchers.
void handleTablesRequest(ReduceContext &context, const PeerSender &sender, const TablesRequest &request);

// Takes over what a peer knows if it is newer.
void handleTablesReply(ReduceContext &context, const PeerSender &sender, const TablesReply &reply);

// Takes over changes that a peer read from the store, or asks for its tables if they do not follow on what is known.
void handleTablesUpdate(ReduceContext &context, const PeerSender &sender, const TablesUpdate &update);
}
