#pragma once

#include "quetzallift/query/agedmean.h"

namespace Quetzallift
{
// Latency without queueing, estimated from samples that include it: lower samples count far more than higher ones.
struct Baseline {
    static constexpr Seconds FallHalfLife{10.0};

    Seconds value{};
    // The longer, the less a lasting overload passes for the normal state, and the further below the mean the value
    // lies if latencies vary widely.
    Seconds riseHalfLife{60.0};
    TimePoint updatedAt;

    // An empty baseline with another half-life for higher samples.
    static Baseline rising(Seconds halfLife)
    {
        Baseline baseline;
        baseline.riseHalfLife = halfLife;
        return baseline;
    }

    // Takes a sample in that the mean already holds.
    void add(const AgedMean<Seconds> &mean, Seconds sample, TimePoint now)
    {
        if (mean.samples < AgedMean<Seconds>::WarmUpSamples) {
            value = mean.value;
        } else {
            const Seconds halfLife = sample < value ? FallHalfLife : riseHalfLife;
            value += (sample - value) * (1.0 - std::exp2(-(Seconds(now - updatedAt) / halfLife)));
        }
        updatedAt = now;
    }
};
}
