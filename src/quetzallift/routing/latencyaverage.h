#pragma once

#include "quetzallift/query/agedmean.h"

namespace Quetzallift
{
// Smoothed mean and mean deviation of latencies, as in TCP's retransmission timer (RFC 6298). The weight of both
// decreases with their age.
class LatencyAverage
{
public:
    void add(Duration sample, TimePoint now);

    bool hasSamples() const;

    // The weighted mean of the samples' mean and `prior`; the weight moves to `prior` with the time since the last sample.
    Duration meanAt(TimePoint now, Duration prior) const;

    // The latency that few ordinary replies exceed.
    Duration tailAt(TimePoint now, Duration prior) const;

private:
    AgedMean<Seconds> m_mean;
    AgedMean<Seconds> m_deviation;
};
}
