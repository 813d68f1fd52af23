#pragma once

#include "quetzallift/model/controlsnapshot.h"

#include <string>
#include <vector>

namespace Quetzallift
{
// The entry hosts that clients of a data centre should use. An answer is far smaller than the parts that it is made of, so
// clients go to hosts that have searchers of nearly every service beside them: those of their own data centre if it has,
// else those of data centres of its region that have, else those of all data centres that have, else all hosts.
std::vector<HostAddress> hostsForClients(const ControlSnapshot &control, const std::string &dataCentre);
}
