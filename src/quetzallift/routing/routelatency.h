#pragma once

#include "quetzallift/query/latencyestimate.h"

namespace Quetzallift
{
// Latencies of the requests of one route at searchers in this host's data centre and elsewhere. The shards of a route do
// alike work, so that one estimate serves all of them: a host of a large fleet sees a single shard too seldom to know it.
struct RouteLatency {
    // A few scattered requests, so that a change of load is followed within seconds.
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
