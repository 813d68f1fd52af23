#pragma once

#include "quetzallift/query/agedmean.h"

namespace Quetzallift
{
// Smoothed mean and mean deviation of latencies, as TCP keeps them for its retransmission timer (RFC 6298). Both are
// believed less the older they are.
class LatencyAverage
{
public:
    void add(Duration sample, TimePoint now);

    // True once a sample came.
    bool known() const;

    // The mean, as far as it is still believed, and the given value for the rest.
    Duration meanAt(TimePoint now, Duration prior) const;

    // The latency that few ordinary replies exceed.
    Duration tailAt(TimePoint now, Duration prior) const;

private:
    AgedMean<Seconds> m_mean;
    AgedMean<Seconds> m_deviation;
};
}
