#pragma once

#include "quetzallift/model/incarnation.h"

#include <string>

namespace Quetzallift
{
// What the fleet believes of an entry host. At the same incarnation a later status supersedes an earlier one.
enum class MemberStatus {
    Live,
    Suspect,
    Leaving,
    Gone,
};

// One statement about an entry host, as it travels between peers.
struct MemberUpdate {
    std::string name;
    Incarnation incarnation;
    MemberStatus status = MemberStatus::Live;
    // True only if the host itself said that it has stopped and closed its connections.
    bool stopped = false;
    std::string address;
    std::string peerAddress;
    std::string dataCentre;
    // The set of hosts that divides the connections to a set of searchers; empty in a fleet of one set.
    std::string cell;
};

// Whether an update is newer than the known one.
bool supersedes(const MemberUpdate &update, const MemberUpdate &known);
}
