#include "quetzallift/routing/retrybudget.h"

#include <algorithm>

namespace Quetzallift
{
namespace
{
// The fractions of the slack that may be spent in one burst and that are refilled within a window. A restarted host
// begins with a full budget, so a burst can occur twice within a window.
constexpr double BurstFraction = 0.4;
constexpr double RefillFraction = 0.2;
// The fraction of the burst that is reserved for retries.
constexpr double RetryFraction = 0.4;
// A smaller budget would not allow a single extra request.
constexpr double MinimumBurst = 1.0;
}

void RetryBudget::resize(const RetryAllowance &allowance, double fleetShare)
{
    const double slack = allowance.slack * fleetShare;
    const double burst = std::max(MinimumBurst, slack * BurstFraction);
    m_tokens.resize(burst);
    m_ratio = allowance.ratio;
    m_refillPerSecond = slack * RefillFraction / std::chrono::duration<double>(allowance.window).count();
    // A full budget must allow a hedge, even if it holds a single extra request.
    m_reservedForRetries = std::min(burst * RetryFraction, burst - MinimumBurst);
}

void RetryBudget::deposit(TimePoint now)
{
    const double seconds = m_depositedAt == TimePoint() ? 0.0 : std::chrono::duration<double>(now - m_depositedAt).count();
    m_depositedAt = now;
    m_tokens.deposit(m_ratio + m_refillPerSecond * seconds);
}

bool RetryBudget::takeForRetry()
{
    return m_tokens.take();
}

bool RetryBudget::takeForHedge()
{
    return m_tokens.take(m_reservedForRetries);
}
}
