#pragma once

#include "quetzallift/model/ids.h"

#include <cstddef>
#include <vector>

namespace Quetzallift
{
// How the latest attempts ended, so that a reply for an ended attempt can be told apart by cause. Bounded: the entry of
// an attempt is reused after a fixed number of newer ones.
class EndedAttempts
{
public:
    EndedAttempts();

    // Remembers that an attempt ended with a reply.
    void noteReplied(AttemptId attempt);

    // True if the attempt is remembered to have had its reply.
    bool hadReply(AttemptId attempt) const;

private:
    std::vector<AttemptId> m_replied;
};
}
