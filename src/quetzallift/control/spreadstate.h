#pragma once

#include "quetzallift/model/ids.h"
#include "quetzallift/model/time.h"

#include <optional>

namespace Quetzallift
{
// How this host takes part in the spreading of generations, and what it has published.
struct SpreadState {
    // The generation that peers were told of at once.
    Generation announced;
    // When a bundle was last asked of a peer; empty if none is awaited.
    std::optional<TimePoint> askedAt;
    // The version of the membership table that the published snapshot shows.
    std::uint64_t published = 0;
};
}
