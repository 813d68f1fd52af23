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

bool TokenBucket::take()
{
    if (m_tokens < 1.0) {
        return false;
    }
    m_tokens -= 1.0;
    return true;
}
}
