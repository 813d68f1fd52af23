#include "quetzallift/query/endedattempts.h"

namespace Quetzallift
{
namespace
{
// Covers the attempts of about 50 queries of 74 shards, far more than one connection can delay a doubled reply by.
constexpr std::size_t Capacity = 4096;
}

EndedAttempts::EndedAttempts()
    : m_replied(Capacity)
{ }

void EndedAttempts::noteReplied(AttemptId attempt)
{
    m_replied[attempt.value % Capacity] = attempt;
}

bool EndedAttempts::hadReply(AttemptId attempt) const
{
    return attempt.value != 0 && m_replied[attempt.value % Capacity] == attempt;
}
}
