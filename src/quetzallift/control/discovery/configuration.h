#pragma once

#include "quetzallift/model/platform.h"

namespace Quetzallift
{
struct ReduceContext;

// Reads the configuration, or watches for a version newer than the known one.
void watchConfiguration(ReduceContext &context);

// Puts a configuration in force if it is newer than the current one. Returns false if it is not newer.
bool adoptConfiguration(ReduceContext &context, const RouteTablePtr &routes, const std::string &source);
}
