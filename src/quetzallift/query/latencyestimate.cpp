#include "quetzallift/query/latencyestimate.h"

namespace Quetzallift
{
namespace
{
namespace acc = boost::accumulators;

// With a hedge budget of 5% a lower quantile uses up the budget on ordinary replies; docs/design/hedging.md has the
// figures.
constexpr double TailQuantile = 0.97;
// With fewer samples there are fewer than two above the tail quantile.
constexpr std::size_t MinimumSamples = 64;

template<typename Quantile>
Duration valueOf(const Quantile &quantile)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::micro>(acc::p_square_quantile(quantile)));
}
}

LatencyEstimate::LatencyEstimate(std::size_t windowSamples)
    : m_windowSamples(windowSamples)
    , m_median(acc::quantile_probability = 0.5)
    , m_tail(acc::quantile_probability = TailQuantile)
{ }

void LatencyEstimate::add(Duration latency)
{
    const double micros = std::chrono::duration<double, std::micro>(latency).count();
    m_median(micros);
    m_tail(micros);
    if (acc::count(m_tail) < m_windowSamples) {
        return;
    }
    m_lastMedian = valueOf(m_median);
    m_lastTail = valueOf(m_tail);
    m_median = Quantile(acc::quantile_probability = 0.5);
    m_tail = Quantile(acc::quantile_probability = TailQuantile);
}

std::optional<Duration> LatencyEstimate::median() const
{
    return m_lastMedian || acc::count(m_median) < MinimumSamples ? m_lastMedian : valueOf(m_median);
}

std::optional<Duration> LatencyEstimate::tail() const
{
    return m_lastTail || acc::count(m_tail) < MinimumSamples ? m_lastTail : valueOf(m_tail);
}
}
