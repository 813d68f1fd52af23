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
// What this host knows of another one.
struct Member {
    MemberUpdate info;
    // When the status last changed here.
    TimePoint since;
    // First unanswered probe of a leaving host, which is not suspected but may still be lost.
    std::optional<TimePoint> silentSince;
    // False for an entry of the host list from which no message or statement has come yet.
    bool confirmed = false;
    // The host sent something under an older incarnation than known and must be told.
    bool outdated = false;
    // The epoch of connection shares that its present process has acknowledged.
    std::uint64_t sharesEpoch = 0;
};

// A probe whose answer is awaited.
struct PendingProbe {
    std::string subject;
    std::string address;
    TimePoint deadline;
    bool indirectSent = false;
    // Set if another host asked for this probe.
    std::string requester;
    std::uint64_t requesterNumber = 0;
};

// The membership table and what is on its way about it.
struct MembershipState {
    MemberUpdate self;
    std::map<std::string, Member> members;
    // Names in the order of probing, shuffled again at each end.
    std::vector<std::string> probeOrder;
    std::map<std::uint64_t, PendingProbe> probes;
    std::uint64_t lastProbe = 0;
    // Names whose statements ride on messages, and on how many they have gone out.
    std::map<std::string, unsigned> spreading;
    std::uint64_t ticks = 0;
    TimePoint startedAt;
    TimePoint lastTick;
    // Rises with every change that decisions may depend on.
    std::uint64_t version = 0;
};
}
