#pragma once

#include "quetzallift/query/latencyestimate.h"
#include "quetzallift/query/pin.h"
#include "quetzallift/query/tokenbucket.h"

namespace Quetzallift
{
// A traffic thread's observations of a whole back end, and its budgets for extra sub-requests.
struct BackEndView {
    // Maximum burst of hedges: what four queries deposit with a 5% budget at 74 shards. One query with several stragglers
    // exhausts a smaller burst, and its remaining stragglers wait; docs/design/hedging.md has the figures.
    static constexpr double HedgeBurst = 16.0;
    // Maximum burst of retries: all 74 shards of one query when its near data centre becomes unavailable.
    static constexpr double RetryBurst = 74.0;

    LatencyEstimate latency;
    TokenBucket hedges{HedgeBurst};
    TokenBucket retries{RetryBurst};
    // The snapshot for the next query; recomputed when the control snapshot or the replica records change.
    PinCache pin;
    // Earliest time of the next probe of a newer layout.
    TimePoint nextProbe;
};
}
