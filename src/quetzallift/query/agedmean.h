#pragma once

#include "quetzallift/model/time.h"

#include <algorithm>
#include <cmath>

namespace Quetzallift
{
// Seconds with a fraction, for means of durations.
using Seconds = std::chrono::duration<double>;

// An exponentially weighted mean whose weight against a prior halves with every half-life without a sample.
template<typename Value>
struct AgedMean {
    // Without new samples an observation loses half its weight in this time, so that a fault seen once is tried again.
    static constexpr Duration HalfLife = std::chrono::seconds(2);
    // Weight of one sample; a tenth follows a change within about twenty samples.
    static constexpr double SampleWeight = 0.1;
    // Samples that the plain mean is taken over before the weight stays fixed.
    static constexpr unsigned WarmUpSamples = 10;
    // A sample counts at most as this multiple of the mean: a single straggler must not look like a slow searcher.
    static constexpr double SampleCap = 5.0;

    Value value{};
    TimePoint updatedAt;
    unsigned samples = 0;

    // Takes a sample in.
    void add(Value sample, TimePoint now)
    {
        const double weight = std::max(SampleWeight, 1.0 / (samples + 1.0));
        value += (sample - value) * weight;
        samples = std::min(samples + 1, WarmUpSamples);
        updatedAt = now;
    }

    // Takes a sample in after limiting it to a multiple of the mean.
    void addCapped(Value sample, TimePoint now)
    {
        add(samples < WarmUpSamples ? sample : std::min(sample, value * SampleCap), now);
    }

    // The mean as far as it is still believed, and the prior for the rest.
    Value valueAt(TimePoint now, Value prior) const
    {
        if (samples == 0) {
            return prior;
        }
        const double halfLives = Seconds(now - updatedAt) / Seconds(HalfLife);
        return prior + (value - prior) * std::exp2(-halfLives);
    }
};
}
