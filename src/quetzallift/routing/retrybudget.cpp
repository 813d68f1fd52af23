#include "quetzallift/routing/retrybudget.h"

#include <algorithm>

namespace Quetzallift
{
namespace
{
// The parts of the slack that may be spent at once and that grow back within a window. A host that restarts begins with a
// full budget again, so the first counts twice.
constexpr double BurstPart = 0.4;
constexpr double RefillPart = 0.2;
// The part of the budget that only retries may use.
constexpr double RetryPart = 0.4;
// A smaller budget would not hold a single extra request.
constexpr double LeastBurst = 1.0;
}

void RetryBudget::resize(const RetryAllowance &allowance, unsigned hosts)
{
    const double slack = allowance.slack / std::max(1U, hosts);
    const double burst = std::max(LeastBurst, slack * BurstPart);
    m_tokens.resize(burst);
    m_ratio = allowance.ratio;
    m_refillPerSecond = slack * RefillPart / std::chrono::duration<double>(allowance.window).count();
    // A full budget must allow a hedge, also where it holds one extra request only.
    m_keptForRetries = std::min(burst * RetryPart, burst - LeastBurst);
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
    return m_tokens.take(m_keptForRetries);
}
}
