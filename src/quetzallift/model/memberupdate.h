#pragma once

#include "quetzallift/model/incarnation.h"

#include <string>

namespace Quetzallift
{
// What the fleet believes of an entry host. At one incarnation a later status prevails over an earlier one.
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
};

// Whether a statement tells more than what is known.
bool prevails(const MemberUpdate &update, const MemberUpdate &known);
}
