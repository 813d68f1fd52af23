#pragma once

#include "quetzallift/model/memberupdate.h"
#include "quetzallift/model/time.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Quetzallift
{
// The state of another host as known to this host.
struct Member {
    MemberUpdate info;
    // The time at which this host last changed the status.
    TimePoint since;
    // Time of the first unanswered probe of a leaving host. A leaving host is not suspected, but it may still be lost.
    std::optional<TimePoint> unresponsiveSince;
    // False for an entry of the host list for which no message or membership update has arrived yet.
    bool confirmed = false;
    // The last message of the host carried an update about itself that is older than the known one; until it sends a
    // current one, messages to the host carry the known update.
    bool needsCorrection = false;
    // The epoch of connection shares that the host's current process has acknowledged.
    std::uint64_t sharesEpoch = 0;
};

// A probe without an answer yet.
struct PendingProbe {
    std::string subject;
    std::string address;
    TimePoint deadline;
    bool indirectSent = false;
    // The peer address of the host that requested this probe; empty if this host probes for itself.
    std::string requester;
    std::uint64_t requesterNumber = 0;
};

// The membership table, pending probes and membership updates to send.
struct MembershipState {
    MemberUpdate self;
    std::map<std::string, Member> members;
    // Names in the order of probing; refilled and shuffled when all were probed.
    std::vector<std::string> probeOrder;
    std::map<std::uint64_t, PendingProbe> probes;
    std::uint64_t lastProbe = 0;
    // Updates that are still gossiped: by host name, the number of messages that have carried the update. Updates are
    // piggybacked on messages.
    std::map<std::string, unsigned> updateSendCounts;
    std::uint64_t ticks = 0;
    TimePoint startedAt;
    TimePoint lastTick;
    // Increases with every change that control decisions may depend on.
    std::uint64_t version = 0;
};
}
