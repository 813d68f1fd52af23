#include "quetzallift/routing/requestpace.h"

#include <algorithm>
#include <chrono>

namespace Quetzallift
{
namespace
{
using Seconds = std::chrono::duration<double>;

// The time for which requests that were not sent are saved, so that a short burst is not refused. At a low rate a single
// request is saved for longer, since a fraction of a request cannot be sent.
constexpr Seconds BurstTime = std::chrono::milliseconds(250);
// A sum of fractions of a request may miss a whole request by a rounding error.
constexpr double RoundingError = 1e-6;
}

void RequestPace::setRate(double perSecond, double saved, TimePoint now)
{
    m_saved = m_rate > 0.0 ? savedAt(now) : saved;
    m_rate = perSecond;
    m_updatedAt = now;
}

double RequestPace::savedAt(TimePoint now) const
{
    const double limit = std::max(1.0, m_rate * BurstTime.count());
    return std::min(limit, m_saved + m_rate * Seconds(now - m_updatedAt).count());
}

TimePoint RequestPace::nextAt(TimePoint now, double before) const
{
    const double missing = 1.0 + before - savedAt(now);
    return missing <= RoundingError ? now : now + std::chrono::ceil<Duration>(Seconds(missing / m_rate));
}

void RequestPace::take(TimePoint now)
{
    m_saved = savedAt(now) - 1.0;
    m_updatedAt = now;
}
}
