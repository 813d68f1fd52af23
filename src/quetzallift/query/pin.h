#pragma once

#include "quetzallift/model/controlsnapshot.h"
#include "quetzallift/model/ids.h"
#include "quetzallift/model/layout.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Quetzallift
{
struct BackEnd;
struct QueryState;

// The snapshot that a query is pinned to, its layout, and the replicas known not to serve it.
struct Pin {
    SnapshotVersion snapshot;
    const Layout *layout = nullptr;
    // Replicas to exclude, by shard index; empty if there are none.
    std::vector<std::vector<std::string>> unusable;
};

// The cached pin of a back end and the versions of the inputs that it was computed from.
struct PinCache {
    ControlSnapshotPtr control;
    std::uint64_t recordsVersion = 0;
    Pin pin;
};

// Chooses the snapshot at which the largest fraction of its layout's weight is known to be served; among equals, the
// newest. Without any replica records it is the first snapshot of the oldest layout, since a newer layout may be announced
// before it is served.
Pin choosePin(const QueryState &state, const BackEnd &backEnd);
}
