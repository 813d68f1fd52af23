#pragma once

#include "quetzallift/model/controlsnapshot.h"

#include <string>

namespace Quetzallift
{
// Writes the list of entry hosts that a caller should use as JSON. Hosts of its data centre come first; within
// each group the hosts are in the caller's order of preference.
std::string encodeAddresses(const ControlSnapshot &control, const std::string &dataCentre, const std::string &caller);
}
