#pragma once

#include "quetzallift/model/time.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <cstddef>
#include <optional>

namespace Quetzallift
{
// Running quantiles of sub-request latencies. The P-square estimator never discards old samples, so the samples are split
// into windows: quantiles come from the last full window, or from the first one once it has enough samples.
class LatencyEstimate
{
public:
    // About 28 queries of 74 shards: 60 samples lie above the tail, and the estimate adapts to a load change within a second.
    static constexpr std::size_t QueryWindow = 2048;

    explicit LatencyEstimate(std::size_t windowSamples = QueryWindow);

    // Adds a latency, or the elapsed time of a cancelled attempt. Without the latter the slow attempts that lost to hedges
    // would be missing, and the quantile would decrease with each window.
    void add(Duration latency);

    // The median latency; empty until there are enough samples.
    std::optional<Duration> median() const;

    // The latency above which a sub-request is a straggler; empty until there are enough samples.
    std::optional<Duration> tail() const;

private:
    using Quantile =
        boost::accumulators::accumulator_set<double, boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::p_square_quantile>>;

    std::size_t m_windowSamples;
    Quantile m_median;
    Quantile m_tail;
    std::optional<Duration> m_lastMedian;
    std::optional<Duration> m_lastTail;
};
}
