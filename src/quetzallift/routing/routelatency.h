#pragma once

#include "quetzallift/query/latencyestimate.h"

namespace Quetzallift
{
// Latencies of the requests of one route at searchers in this host's data centre and in other data centres. The shards
// of a route do similar work and share one estimate, because a host of a large fleet sends too few requests to a single
// shard for an estimate of its own.
struct RouteLatency {
    // The samples of a few scattered requests, so that the estimate follows a change of load within seconds.
    static constexpr std::size_t WindowSamples = 512;

    LatencyEstimate nearby{WindowSamples};
    LatencyEstimate remote{WindowSamples};

    LatencyEstimate &at(bool near)
    {
        return near ? nearby : remote;
    }

    const LatencyEstimate &at(bool near) const
    {
        return near ? nearby : remote;
    }
};
}
