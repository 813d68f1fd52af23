#pragma once

#include "quetzallift/model/ids.h"
#include "quetzallift/model/time.h"

#include <optional>

namespace Quetzallift
{
// State of the distribution of generations among peers, and the membership version last published.
struct SpreadState {
    // The generation that was last announced to peers.
    Generation announcedGeneration;
    // The time of the last bundle request to a peer; empty if no reply is awaited.
    std::optional<TimePoint> bundleRequestedAt;
    // The version of the membership table in the published snapshot.
    std::uint64_t publishedVersion = 0;
};
}
