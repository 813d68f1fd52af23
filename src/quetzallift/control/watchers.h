#pragma once

#include "quetzallift/model/time.h"

#include <cstddef>

namespace Quetzallift
{
struct ControlState;
struct ReduceContext;

// The hosts of a data centre that watch the objects of bundles and read the host list.
constexpr std::size_t BundleWatchers = 2;

// Whether this host is among so many of its data centre that watch the platform for the others. No lock is involved: tables
// that differ for a while make more or fewer hosts watch, which is harmless.
bool isWatcher(const ControlState &state, std::size_t watchers);

// The wait of a host that does not watch before it reads the platform again. It grows with the fleet, so that all such
// reads together stay constant.
Duration pollPeriod(ReduceContext &context);

// Starts to watch, or stops, after the membership changed.
void updateWatching(ReduceContext &context);
}
