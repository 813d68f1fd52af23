#include "quetzallift/query/hedgedelay.h"

#include "quetzallift/model/backend.h"
#include "quetzallift/query/latencyestimate.h"

#include <algorithm>

namespace Quetzallift
{
std::optional<Duration> learnedHedgeDelay(const LatencyEstimate &latency, const BackEndPolicy &policy)
{
    // Leaves two more waits of that length before the target.
    constexpr int ShareOfTarget = 3;
    // Below the resolution of timers the check would find ordinary replies on their way.
    constexpr Duration Least = std::chrono::milliseconds(1);
    return std::max(latency.tail().value_or(policy.latencyTarget / ShareOfTarget), Least);
}
}
