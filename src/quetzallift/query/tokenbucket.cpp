#include "quetzallift/query/tokenbucket.h"

#include <algorithm>

namespace Quetzallift
{
TokenBucket::TokenBucket(double burst)
    : m_burst(burst)
    , m_tokens(burst)
{ }

void TokenBucket::deposit(double tokens)
{
    m_tokens = std::min(m_burst, m_tokens + tokens);
}

bool TokenBucket::take(double reserved)
{
    if (m_tokens < reserved + 1.0) {
        return false;
    }
    m_tokens -= 1.0;
    return true;
}

void TokenBucket::resize(double burst)
{
    const bool full = m_tokens >= m_burst;
    m_burst = burst;
    m_tokens = full ? m_burst : std::min(m_tokens, m_burst);
}
}
