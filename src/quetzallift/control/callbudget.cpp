#include "quetzallift/control/callbudget.h"

#include <algorithm>

namespace Quetzallift
{
namespace
{
using Seconds = std::chrono::duration<double>;

// A host makes five calls at the same time when it starts.
constexpr double MinimumBurst = 8;

void refill(double &tokens, double rate, Seconds passed)
{
    tokens = std::min(tokens + rate * passed.count(), std::max(MinimumBurst, rate));
}
}

Duration takeCall(CallBudget &budget, bool write, std::size_t hosts, TimePoint now, Duration limit)
{
    const auto divisor = static_cast<double>(std::max<std::size_t>(hosts, 1));
    const double readRate = budget.fleetReadsPerSecond / divisor;
    const double writeRate = budget.fleetWritesPerSecond / divisor;
    const Seconds passed = budget.refilledAt == TimePoint() ? Seconds(0) : Seconds(now - budget.refilledAt);
    budget.refilledAt = now;
    refill(budget.reads, readRate, passed);
    refill(budget.writes, writeRate, passed);
    double &tokens = write ? budget.writes : budget.reads;
    const double missing = std::max(1.0 - tokens, 0.0);
    const auto wait = std::chrono::duration_cast<Duration>(Seconds(missing / (write ? writeRate : readRate)));
    if (wait <= limit) {
        tokens -= 1;
    }
    return wait;
}
}
