#pragma once

#include "quetzallift/model/incarnation.h"

#include <string>

namespace Quetzallift
{
// The status of an entry host in the membership table. At the same incarnation a later status supersedes an earlier one.
enum class MemberStatus {
    Live,
    Suspect,
    Leaving,
    Gone,
};

// One update about an entry host, as gossiped between peers.
struct MemberUpdate {
    std::string name;
    Incarnation incarnation;
    MemberStatus status = MemberStatus::Live;
    // True only if the host itself announced that it has stopped and closed its connections.
    bool stopped = false;
    std::string address;
    std::string peerAddress;
    std::string dataCentre;
    // The set of hosts among which the connections to a set of searchers are divided; empty in a fleet of one set.
    std::string cell;
    // The host's part of processor time, in thousandths of a core; 0 if unknown.
    unsigned capacity = 0;
    // True while the host has little processor time left, so that more hosts of its data centre should serve clients.
    bool busy = false;
};

// Whether an update replaces the known update about the same host: by a higher incarnation, then by a later status,
// then by `stopped`.
bool supersedes(const MemberUpdate &update, const MemberUpdate &known);
}
