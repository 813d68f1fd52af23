#pragma once

namespace Quetzallift
{
struct ReduceContext;

// Writes this host's entry in the host list, through which hosts find each other if no seed is left.
void registerHost(ReduceContext &context);
}
