#pragma once

#include "quetzallift/model/time.h"

#include <algorithm>
#include <cmath>

namespace Quetzallift
{
// Fractional seconds, for means of durations.
using Seconds = std::chrono::duration<double>;

// An exponentially weighted mean that decays towards a prior: its weight halves with every half-life without a sample.
template<typename Value>
struct AgedMean {
    // Time without samples after which the mean loses half its weight, so that a searcher with an old fault is used again.
    static constexpr Duration HalfLife = std::chrono::seconds(2);
    // Weight of one sample; with 0.1 the mean follows a change within about 20 samples.
    static constexpr double SampleWeight = 0.1;
    // Number of samples over which the arithmetic mean is used before the weight becomes constant.
    static constexpr unsigned WarmUpSamples = 10;
    // Samples are capped at this multiple of the mean, so that a single straggler does not make a searcher look slow.
    static constexpr double SampleCap = 5.0;

    Value value{};
    TimePoint updatedAt;
    unsigned samples = 0;

    void add(Value sample, TimePoint now)
    {
        const double weight = std::max(SampleWeight, 1.0 / (samples + 1.0));
        value += (sample - value) * weight;
        samples = std::min(samples + 1, WarmUpSamples);
        updatedAt = now;
    }

    // Adds a sample, capped at SampleCap times the mean once the warm-up is over.
    void addCapped(Value sample, TimePoint now)
    {
        add(samples < WarmUpSamples ? sample : std::min(sample, value * SampleCap), now);
    }

    // Interpolates between the mean and the prior according to the age of the last sample.
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
