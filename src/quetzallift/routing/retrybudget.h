#pragma once

#include "quetzallift/model/reloadablesettings.h"
#include "quetzallift/query/tokenbucket.h"

namespace Quetzallift
{
// A traffic thread's budget of extra requests to one service: a ratio of the thread's first requests, and one host's
// fraction of the fleet's slack, which is refilled over the window in which it is counted.
class RetryBudget
{
public:
    // Takes over the ratio and this host's part of the fleet's slack.
    void resize(const RetryAllowance &allowance, double fleetShare);

    // Adds tokens for a first request and for the time since the last first request.
    void deposit(TimePoint now);

    // Takes a token for the retry of a failed attempt. Returns false if the budget is exhausted.
    bool takeForRetry();

    // Takes a token for a hedge of a slow attempt. Returns false if only the reserve for retries is left: a failed
    // request is lost without a retry, a slow request is only late.
    bool takeForHedge();

private:
    TokenBucket m_tokens{0.0};
    double m_ratio = 0.0;
    double m_refillPerSecond = 0.0;
    double m_reservedForRetries = 0.0;
    TimePoint m_depositedAt;
};
}
