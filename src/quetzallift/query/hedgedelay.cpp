#include "quetzallift/query/hedgedelay.h"

#include "quetzallift/model/backend.h"
#include "quetzallift/query/latencyestimate.h"

#include <algorithm>

namespace Quetzallift
{
std::optional<Duration> adaptiveHedgeDelay(const LatencyEstimate &latency, const BackEndPolicy &policy)
{
    // A third of the target leaves two more waits of that length before the target.
    constexpr int TargetDivisor = 3;
    // Below the timer resolution the check would hedge attempts whose ordinary replies are about to arrive.
    constexpr Duration Minimum = std::chrono::milliseconds(1);
    return std::max(latency.tail().value_or(policy.latencyTarget / TargetDivisor), Minimum);
}
}
