#pragma once

#include "quetzallift/model/controlsnapshot.h"

#include <string>

namespace Quetzallift
{
// The JSON answer to a caller that asks which entry hosts to use: those of its data centre first.
std::string encodeAddresses(const ControlSnapshot &control, const std::string &dataCentre);
}
