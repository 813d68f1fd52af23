#pragma once

#include "quetzallift/model/ids.h"

#include <cstddef>
#include <vector>

namespace Quetzallift
{
// Records which recent attempts ended with a reply, to classify replies to ended attempts as duplicate or late. Bounded:
// the entry of an attempt is reused after a fixed number of newer attempts.
class EndedAttempts
{
public:
    EndedAttempts();

    // Records that an attempt ended with a reply.
    void recordReplied(AttemptId attempt);

    // True if the attempt ended with a reply and its entry was not reused.
    bool hadReply(AttemptId attempt) const;

private:
    std::vector<AttemptId> m_replied;
};
}
