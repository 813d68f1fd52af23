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

// The snapshot that a query is bound to, its layout, and the replicas known not to serve it.
struct Pin {
    SnapshotVersion snapshot;
    const Layout *layout = nullptr;
    // By shard index, the replicas to leave out; empty if none has to be left out.
    std::vector<std::vector<std::string>> unusable;
};

// The last pin of a back end and the knowledge that it rests on.
struct PinCache {
    ControlSnapshotPtr control;
    std::uint64_t recordsVersion = 0;
    Pin pin;
};

// The snapshot at which the largest weight of its layout is known to be served, and among equals the newest. Without any
// knowledge it is the first snapshot of the oldest layout, since a newer layout may be announced before it is served.
Pin choosePin(const QueryState &state, const BackEnd &backEnd);
}
