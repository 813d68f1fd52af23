#pragma once

#include "quetzallift/model/platform.h"

namespace Quetzallift
{
struct ReduceContext;

// Reads the configuration, or watches for the version after the one that is known.
void followConfiguration(ReduceContext &context);

// Puts a configuration in force if it is newer than the present one. Returns false if it is not.
bool adoptConfiguration(ReduceContext &context, const RouteTablePtr &routes, const std::string &source);
}
