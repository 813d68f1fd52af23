#pragma once

#include "quetzallift/model/controlsnapshot.h"

#include <string>
#include <vector>

namespace Quetzallift
{
struct ControlState;

// The hosts that callers may use: live, neither suspect nor leaving, and with connection shares if any host has some.
std::vector<HostAddress> usableAddresses(const ControlState &state);

// A version number that depends only on the list, so that all hosts with the same list compute the same number.
std::uint64_t addressesVersion(const std::vector<HostAddress> &addresses);

// The hosts that a caller should use, in order of preference: hosts of the caller's data centre, then others. Both groups
// are ranked by rendezvous hashing of the caller's name, so that callers spread evenly and a host that joins or leaves
// moves few of them.
std::vector<HostAddress> addressesFor(const ControlSnapshot &control, const std::string &dataCentre, const std::string &caller);
}
