#pragma once

#include "quetzallift/model/controlsnapshot.h"

#include <string>
#include <vector>

namespace Quetzallift
{
struct ControlState;

// The hosts that callers may use: live, neither suspect nor leaving, and holding connections if any host does.
std::vector<HostAddress> usableAddresses(const ControlState &state);

// A number that every host with the same list computes alike and that stays the same while the list does.
std::uint64_t addressesVersion(const std::vector<HostAddress> &addresses);

// The hosts that one caller should use, best first: those of its data centre, then others, each ranked by the caller's
// name, so that callers spread evenly and a host that comes or goes moves few of them.
std::vector<HostAddress> addressesFor(const ControlSnapshot &control, const std::string &dataCentre, const std::string &caller);
}
