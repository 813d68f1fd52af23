#pragma once

#include "quetzallift/query/latencyestimate.h"
#include "quetzallift/query/pin.h"
#include "quetzallift/query/tokenbucket.h"

namespace Quetzallift
{
// What a traffic thread has learned about a back end as a whole, and its budgets of extra sub-requests.
struct BackEndView {
    // Hedges that may follow each other at once: four queries' share of a 5% budget at 74 shards. A smaller burst is spent
    // by one query with several stragglers, and the others of that query then wait; docs/design/hedging.md has the figures.
    static constexpr double HedgeBurst = 16.0;
    // Retries that may follow each other at once: all shards of one query when its near data centre goes away.
    static constexpr double RetryBurst = 74.0;

    LatencyEstimate latency;
    TokenBucket hedges{HedgeBurst};
    TokenBucket retries{RetryBurst};
    // The snapshot for the next query; computed again when the knowledge that it rests on changed.
    PinCache pin;
    // No probe of a newer layout is sent before this instant.
    TimePoint nextProbe;
};
}
