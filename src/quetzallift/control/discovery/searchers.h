#pragma once

#include "quetzallift/model/platform.h"

#include <cstdint>

namespace Quetzallift
{
struct ReduceContext;

// Lists the searchers, or watches for changes since the last known version.
void followSearchers(ReduceContext &context);

// Takes over changes that another host read from the store at the given time. Returns false if they do not follow on the
// version at which the searchers are known here.
bool followSearcherChanges(ReduceContext &context, std::uint64_t from, std::uint64_t to, const SearcherPage &changes, TimePoint readAt);

// Drops entries that vanished around an outage and did not come back.
void expireSearchers(ReduceContext &context);

// Gives traffic threads the searchers if they changed.
void publishSearchers(ReduceContext &context);
}
