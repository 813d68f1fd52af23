#pragma once

#include "quetzallift/query/agedmean.h"

namespace Quetzallift
{
// Estimate of the latency without queueing, from samples that include queueing: lower samples weigh far more than
// higher ones.
struct Baseline {
    static constexpr Seconds FallHalfLife{10.0};

    Seconds value{};
    // A longer half-life keeps a lasting overload from being taken for the normal state, but places the value further
    // below the mean if latencies vary widely.
    Seconds riseHalfLife{60.0};
    TimePoint updatedAt;

    // An empty baseline with the given half-life for higher samples.
    static Baseline rising(Seconds halfLife)
    {
        Baseline baseline;
        baseline.riseHalfLife = halfLife;
        return baseline;
    }

    // Adds a sample that was already added to the mean.
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
