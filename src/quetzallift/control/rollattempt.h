#pragma once

#include "quetzallift/model/platform.h"

#include <variant>

namespace Quetzallift
{
enum class RollOutcome {
    // The generation took effect. The record found may be a later one.
    Won,
    // Another rollout took the generation; the record found names it.
    Lost,
    // Nothing was written and nothing will be.
    NotWritten,
    // The write may have taken effect, or may still.
    Unknown,
};

// How an attempt to roll ended, and the newest rollout object seen.
struct RollResult {
    RollOutcome outcome = RollOutcome::Unknown;
    RolloutRecord found;
};

// The next call of an attempt, or its result.
using RollStep = std::variant<PlatformRequest, RollResult>;

// One attempt to raise the rollout object from generation n to n+1 by a conditional update with a unique token. It writes
// at most once; a lost answer is settled by reading the token back.
class RollAttempt
{
public:
    // The record names the digest, token, operator, approval and time; the generation and past follow from the object.
    explicit RollAttempt(RolloutRecord wanted);

    // The first call.
    RollStep start();

    // What follows from the reply to the last call.
    RollStep next(const PlatformReply &reply);

    // The record as it was or will be written.
    const RolloutRecord &wanted() const;

private:
    enum class Phase {
        ReadBase,
        Write,
        ReadBack,
    };

    RollStep writeAfter(const PlatformReply &base);
    RollStep readBack();
    RollStep settle(const PlatformReply &reply);
    bool tookEffect(const RolloutRecord &found) const;

    RolloutRecord m_wanted;
    Phase m_phase = Phase::ReadBase;
    PlatformOutcome m_writeOutcome = PlatformOutcome::Unknown;
    unsigned m_readBacks = 0;
};
}
