#pragma once

#include "quetzallift/model/time.h"

#include <cstddef>

namespace Quetzallift
{
// The calls that this host may make to the platform: a token bucket for reads and one for writes. The platform's limits
// are divided by the number of hosts, so that the fleet stays below them and does not stampede after an outage.
struct CallBudget {
    double reads = 8;
    double writes = 8;
    TimePoint refilledAt;
};

// Takes one call from the budget. Returns how long the call must wait for its turn; zero means now. A call that would
// wait longer than the limit takes nothing and gets the wait that it would have had.
Duration takeCall(CallBudget &budget, bool write, std::size_t hosts, TimePoint now, Duration limit);
}
