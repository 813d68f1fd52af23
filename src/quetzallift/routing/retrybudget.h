#pragma once

#include "quetzallift/model/reloadablesettings.h"
#include "quetzallift/query/tokenbucket.h"

namespace Quetzallift
{
// This host's part of the extra requests that the fleet may send to one service: a share of first requests, and a slack
// that grows back over the window in which it is counted.
class RetryBudget
{
public:
    // Divides the allowance of the fleet by the number of hosts.
    void resize(const RetryAllowance &allowance, unsigned hosts);

    // Pays in for a first request, and for the time since the last one.
    void deposit(TimePoint now);

    // Takes one extra request for a part whose attempt failed. Returns false if the budget is spent.
    bool takeForRetry();

    // The same for a part whose attempt is slow, which must leave something to retries: a request that failed is lost
    // without another attempt, a slow one is only late.
    bool takeForHedge();

private:
    TokenBucket m_tokens{0.0};
    double m_ratio = 0.0;
    double m_refillPerSecond = 0.0;
    double m_keptForRetries = 0.0;
    TimePoint m_depositedAt;
};
}
