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
    // Start of the wait before the next bundle request: the time of the last request or, after a refused bundle, a later
    // time; empty if a bundle may be requested immediately.
    std::optional<TimePoint> bundleRequestedAt;
    // The version of the membership table in the published snapshot.
    std::uint64_t publishedVersion = 0;
};
}
