#pragma once

#include "quetzallift/model/time.h"

namespace Quetzallift
{
struct ControlState;
struct ReduceContext;

// Whether this host is one of the two of its data centre that hold the platform watch and read the host list. No lock is
// involved: tables that differ for a while make more or fewer hosts watch, which is harmless.
bool isWatcher(const ControlState &state);

// The wait of a host that does not watch before it reads the platform again. It grows with the fleet, so that all such
// reads together stay constant.
Duration pollPeriod(ReduceContext &context);

// Starts to watch, or stops, after the membership changed.
void updateWatching(ReduceContext &context);
}
