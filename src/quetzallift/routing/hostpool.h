#pragma once

#include "quetzallift/model/controlsnapshot.h"

#include <string>
#include <vector>

namespace Quetzallift
{
// Deterministic subsetting: in a large data centre only a pool of hosts is named to clients. A host that serves few
// requests has cold connections to searchers, has observed little about them, and holds parts of the fleet's limits that
// are too small to use. The pool has the hosts with the most processor time, in the order of their rendezvous weight among
// equals, so that all hosts name the same ones and a lost host is replaced by one other. A busy host stays in the pool and
// adds one more host to it.
std::vector<HostAddress> hostPool(const std::vector<HostAddress> &hosts);

// The part of what the fleet owns together (connections to searchers, extra requests, request limits) that one host may use.
// The parts of all listed hosts add up to 1. Hosts outside of the pools, to which clients with an older address list still
// come, have a small part; a host that is leaving, and not listed any more, counts as one of them.
double fleetShare(const std::vector<HostAddress> &hosts, const std::string &self);
}
