#pragma once

#include "quetzallift/model/controlsnapshot.h"

#include <string>

namespace Quetzallift
{
// The JSON answer to a caller that asks which entry hosts to use: those of its data centre first,
// in the order of preference of that caller.
std::string encodeAddresses(const ControlSnapshot &control, const std::string &dataCentre, const std::string &caller);
}
