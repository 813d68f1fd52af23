#pragma once

#include "quetzallift/model/memberupdate.h"
#include "quetzallift/model/platform.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Quetzallift
{
// Who sends a message and how far it has come; part of every message.
struct PeerSender {
    MemberUpdate self;
    Generation generation;
    // The epoch of connection shares that the sender follows; this acknowledges it.
    std::uint64_t sharesEpoch = 0;
};

// Asks whether the receiver is alive.
struct Probe {
    std::uint64_t number = 0;
};

// Answers a probe. The subject differs from the sender if a helper passes on the answer to an indirect probe.
struct ProbeReply {
    std::uint64_t number = 0;
    std::string subject;
};

// Asks the receiver to probe a third host and to pass on its answer.
struct IndirectProbe {
    std::uint64_t number = 0;
    std::string subject;
    std::string peerAddress;
};

// Tells what the header says: a new generation, a new epoch of shares or a changed status of the sender.
struct Announcement {
    bool replyWanted = false;
};

// Asks for the rollout and bundle in force at the sender of a higher generation.
struct BundleRequest {
};

struct BundleReply {
    RolloutRecord rollout;
    BundlePtr bundle;
};

// Asks for the newest division of connections.
struct SharesRequest {
};

struct SharesReply {
    SharesRecord shares;
};

// Compares membership tables by one hash for each bucket of names.
struct SyncRequest {
    std::vector<std::uint32_t> buckets;
};

// Brings what the replier knows in buckets that differ.
struct SyncReply {
    std::vector<MemberUpdate> members;
    // True if more buckets differ than fit into one reply.
    bool more = false;
};

// Asks for the configuration of routes and the searchers, for a host that does not read the metadata store itself.
struct TablesRequest {
    // The version of the configuration that the sender has.
    std::uint64_t configuration = 0;
    // False if only the configuration is wanted.
    bool searchers = true;
};

struct TablesReply {
    // The operator's document; empty if the receiver has that version.
    std::string document;
    std::vector<SearcherEntry> searchers;
    // How long ago the sender last read the searchers from the store.
    Duration age = Duration::zero();
    // The store's versions at which the configuration and the searchers are known; 0 if that is not known.
    std::uint64_t configurationVersion = 0;
    std::uint64_t searchersVersion = 0;
    bool withSearchers = true;
};

// What a host that reads the metadata store passes on to those of its data centre, also if nothing changed.
struct TablesUpdate {
    // The version of the configuration in force at the sender.
    std::uint64_t configuration = 0;
    // The store's version at which the sender knows that configuration.
    std::uint64_t configurationVersion = 0;
    // Brings searchers that are known at the store's version `from`, or a later one, to the version `to`.
    std::uint64_t from = 0;
    std::uint64_t to = 0;
    SearcherPage changes;
    // How long ago the store vouched for both.
    Duration age = Duration::zero();
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
                                     TablesUpdate>;

// One message between entry hosts.
struct PeerMessage {
    PeerSender sender;
    // Statements about other hosts that ride along.
    std::vector<MemberUpdate> updates;
    PeerMessageBody body;
};
}
