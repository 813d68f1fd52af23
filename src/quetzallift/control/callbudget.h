#pragma once

#include "quetzallift/model/time.h"

#include <cstddef>

namespace Quetzallift
{
// Rate limit for calls of this host to the platform: a token bucket for reads and one for writes. The platform's limits
// are divided by the number of hosts, so that the fleet stays below them and does not stampede after an outage.
struct CallBudget {
    // The calls per second that all hosts together may make. The rest of what the platform sustains is left to operators and to hosts that
    // are not in the host list yet.
    double fleetReadsPerSecond = 1500;
    double fleetWritesPerSecond = 250;
    double reads = 8;
    double writes = 8;
    TimePoint refilledAt;
};

// Takes one call from the budget. Returns the wait before the call may be sent; zero means immediately. If the wait
// exceeds the limit, no token is taken and the wait is returned.
Duration takeCall(CallBudget &budget, bool write, std::size_t hosts, TimePoint now, Duration limit);
}
