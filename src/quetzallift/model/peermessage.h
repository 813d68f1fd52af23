#pragma once

#include "quetzallift/model/memberupdate.h"
#include "quetzallift/model/platform.h"

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace Quetzallift
{
// The sender of a message with its configuration generation and shares epoch; part of every message.
struct PeerSender {
    MemberUpdate self;
    Generation generation;
    // The epoch of connection shares that the sender has applied; sending it acknowledges the epoch.
    std::uint64_t sharesEpoch = 0;
};

// Checks whether the receiver is alive.
struct Probe {
    std::uint64_t number = 0;
};

// Answers a probe. The subject differs from the sender if an intermediary relays the reply to an indirect probe.
struct ProbeReply {
    std::uint64_t number = 0;
    std::string subject;
};

// Asks the receiver to probe a third host and to relay the reply.
struct IndirectProbe {
    std::uint64_t number = 0;
    std::string subject;
    std::string peerAddress;
};

// Carries only the sender and piggybacked updates, to announce a new generation, a new epoch of shares or a changed
// status of the sender.
struct Announcement {
    bool replyWanted = false;
};

// Requests the rollout and bundle in force from a host that announced a higher generation.
struct BundleRequest {
};

struct BundleReply {
    RolloutRecord rollout;
    BundlePtr bundle;
};

// Requests the newest division of connections.
struct SharesRequest {
};

struct SharesReply {
    SharesRecord shares;
};

// Compares membership tables by one hash for each bucket of names.
struct SyncRequest {
    std::vector<std::uint32_t> buckets;
};

// Contains the replier's members in the buckets that differ.
struct SyncReply {
    std::vector<MemberUpdate> members;
    // True if more buckets differ than fit into one reply.
    bool more = false;
};

// Requests the configuration of routes and the searchers, for a host that does not read the metadata store itself.
struct TablesRequest {
    // The operator's version (RouteTable::version) of the configuration in force at the sender.
    std::uint64_t configuration = 0;
    // False if only the configuration is wanted.
    bool searchers = true;
    // Returned in the reply, which holds for a time after this request was sent.
    std::uint64_t number = 0;
};

struct TablesReply {
    // The operator's document; empty if the receiver already has this version.
    std::string document;
    std::vector<SearcherEntry> searchers;
    // How long before sending this message the sender's searchers were last known to be up to date with the store.
    Duration age = Duration::zero();
    // The store versions of the configuration and of the searchers; 0 if unknown.
    std::uint64_t configurationVersion = 0;
    std::uint64_t searchersVersion = 0;
    bool withSearchers = true;
    // The listed searchers whose entries are gone from the store, by id, and how much longer the sender keeps each.
    std::map<std::string, Duration> expiring = {};
    // The number of the request.
    std::uint64_t number = 0;
};

// Sent by the store reader of a data centre to its other serving hosts when it has read a change. It may wait on its way, so it
// does not say that the receiver's tables are up to date; see TablesConfirmation.
struct TablesUpdate {
    // The operator's version (RouteTable::version) of the configuration in force at the sender.
    std::uint64_t configuration = 0;
    // The store version of that configuration.
    std::uint64_t configurationVersion = 0;
    // The operator's document, if the configuration is new; otherwise empty.
    std::string document = {};
    // The changes bring a searcher table of a store version between `from` and `upTo` to the version `to`.
    std::uint64_t from = 0;
    std::uint64_t upTo = 0;
    std::uint64_t to = 0;
    SearcherPage changes = {};
    // How much longer the sender keeps searchers whose entries were removed; zero unless the store was away before.
    Duration grace = Duration::zero();
};

// Asks a host that reads the store to confirm the receiver's tables after its next read.
struct ConfirmationRequest {
    std::uint64_t number = 0;
};

// States which versions of the tables are up to date. The receiver knows when it sent the request, so the time that this message
// waited on its way counts as age of its tables.
struct TablesConfirmation {
    // The number of the request, and how long the sender held the request before it sent this message.
    std::uint64_t number = 0;
    Duration held = Duration::zero();
    // How long before sending this message the store last confirmed both the configuration and the searchers.
    Duration age = Duration::zero();
    // The operator's version and the store version of the configuration.
    std::uint64_t configuration = 0;
    std::uint64_t configurationVersion = 0;
    // The store version of the searchers, and the version since which they have not changed.
    std::uint64_t searchersVersion = 0;
    std::uint64_t changedVersion = 0;
};

using PeerMessageBody = std::variant<Probe,
                                     ProbeReply,
                                     IndirectProbe,
                                     Announcement,
                                     BundleRequest,
                                     BundleReply,
                                     SharesRequest,
                                     SharesReply,
                                     SyncRequest,
                                     SyncReply,
                                     TablesRequest,
                                     TablesReply,
                                     TablesUpdate,
                                     ConfirmationRequest,
                                     TablesConfirmation>;

// One message between entry hosts.
struct PeerMessage {
    PeerSender sender;
    // Piggybacked updates about other hosts.
    std::vector<MemberUpdate> updates;
    PeerMessageBody body;
};
}
