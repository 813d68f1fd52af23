#include "quetzallift/routing/latencyaverage.h"

namespace Quetzallift
{
namespace
{
// RFC 6298 sets the timeout to four deviations above the mean. An extra request costs less than the retransmission of a
// lost packet, and three deviations are near the 95th percentile of exponential service times.
constexpr double TailDeviations = 3.0;

Duration toDuration(Seconds seconds)
{
    return std::chrono::duration_cast<Duration>(seconds);
}
}

void LatencyAverage::add(Duration sample, TimePoint now)
{
    const Seconds error = Seconds(sample) - m_mean.value;
    m_deviation.addCapped(m_mean.samples == 0 ? Seconds(sample) / 2 : std::chrono::abs(error), now);
    m_mean.addCapped(sample, now);
}

bool LatencyAverage::hasSamples() const
{
    return m_mean.samples > 0;
}

Duration LatencyAverage::meanAt(TimePoint now, Duration prior) const
{
    return toDuration(m_mean.valueAt(now, prior));
}

Duration LatencyAverage::tailAt(TimePoint now, Duration prior) const
{
    return toDuration(m_mean.valueAt(now, prior) + m_deviation.valueAt(now, Seconds(prior) / 2) * TailDeviations);
}
}
