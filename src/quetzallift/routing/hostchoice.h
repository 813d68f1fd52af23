#pragma once

#include "quetzallift/model/controlsnapshot.h"

#include <string>
#include <vector>

namespace Quetzallift
{
// The entry hosts that clients of a data centre should use. An answer is far smaller than the parts that it is merged
// from, so clients should use hosts in a complete data centre, which has searchers of nearly every service: the hosts
// of their own data centre if it is complete or if no data centre is, else the hosts of the complete data centres of
// their region, else the hosts of all complete data centres, else the hosts of all data centres. Only hosts of the pool of
// their data centre are named.
std::vector<HostAddress> hostsForClients(const ControlSnapshot &control, const std::string &dataCentre);
}
