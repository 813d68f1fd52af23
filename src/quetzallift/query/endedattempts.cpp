#include "quetzallift/query/endedattempts.h"

namespace Quetzallift
{
namespace
{
// Attempts of about 50 queries over 74 shards, far more than can start before a delayed duplicate reply arrives.
constexpr std::size_t Capacity = 4096;
}

EndedAttempts::EndedAttempts()
    : m_replied(Capacity)
{ }

void EndedAttempts::recordReplied(AttemptId attempt)
{
    m_replied[attempt.value % Capacity] = attempt;
}

bool EndedAttempts::hadReply(AttemptId attempt) const
{
    return attempt.value != 0 && m_replied[attempt.value % Capacity] == attempt;
}
}
