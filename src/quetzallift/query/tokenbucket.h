#pragma once

namespace Quetzallift
{
// A budget for extra sub-requests, refilled by a fraction of the first sub-requests.
class TokenBucket
{
public:
    // Starts full. The burst is the maximum number of extra sub-requests without a deposit.
    explicit TokenBucket(double burst);

    // Adds tokens; tokens beyond the burst are discarded.
    void deposit(double tokens);

    // Takes one token unless that would leave fewer than the reserved tokens. Returns true if it took one.
    bool take(double reserved = 0.0);

    // Changes the burst. A full bucket stays full.
    void resize(double burst);

private:
    double m_burst;
    double m_tokens;
};
}
