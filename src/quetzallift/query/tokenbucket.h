#pragma once

namespace Quetzallift
{
// A budget of extra sub-requests that first sub-requests pay into.
class TokenBucket
{
public:
    // Starts full with the burst, the most extra sub-requests that may follow each other without a deposit.
    explicit TokenBucket(double burst);

    // Pays in a share of first sub-requests; what exceeds the burst is lost.
    void deposit(double tokens);

    // Takes one token. Returns false if there is not a whole one beyond those that must stay.
    bool take(double kept = 0.0);

    // Changes the burst. A bucket that was full stays full.
    void resize(double burst);

private:
    double m_burst;
    double m_tokens;
};
}
