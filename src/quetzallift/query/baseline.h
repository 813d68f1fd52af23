#pragma once

#include "quetzallift/query/agedmean.h"

namespace Quetzallift
{
// Latency without queueing, estimated from samples that include it: lower samples count far more than higher ones.
struct Baseline {
    // Slow enough that an overload of half a minute does not pass for the normal state.
    static constexpr Seconds FallHalfLife{10.0};
    static constexpr Seconds RiseHalfLife{60.0};

    Seconds value{};
    TimePoint updatedAt;

    // Takes a sample in that the mean already holds.
    void add(const AgedMean<Seconds> &mean, Seconds sample, TimePoint now)
    {
        if (mean.samples < AgedMean<Seconds>::WarmUpSamples) {
            value = mean.value;
        } else {
            const Seconds halfLife = sample < value ? FallHalfLife : RiseHalfLife;
            value += (sample - value) * (1.0 - std::exp2(-(Seconds(now - updatedAt) / halfLife)));
        }
        updatedAt = now;
    }
};
}
