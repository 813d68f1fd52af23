#pragma once

#include "quetzallift/model/time.h"

#include <cstddef>

namespace Quetzallift
{
struct ControlState;
struct Member;
struct ReduceContext;

// Number of hosts of a data centre that watch the rollout object, write connection shares and read the host list often.
constexpr std::size_t BundleWatchers = 2;

// Whether this host is one of the given number of watchers of its data centre. Watchers read the platform on behalf of
// the other hosts of the data centre. No lock is involved: while membership tables differ, more or fewer hosts watch,
// which is harmless.
bool isWatcher(const ControlState &state, std::size_t watchers);

// The other host that is the first watcher of this data centre; null if it is this host.
const Member *firstWatcher(const ControlState &state);

// The wait of a host that does not watch before its next read from the platform. It grows with the fleet, so that the
// total rate of such reads stays constant.
Duration pollPeriod(ReduceContext &context);

// Starts or stops watching after a change of membership.
void updateWatching(ReduceContext &context);
}
