#pragma once

#include "quetzallift/model/platform.h"

#include <variant>

namespace Quetzallift
{
enum class RollOutcome {
    // The write took effect. The record found may belong to a later generation.
    Won,
    // Another rollout took the generation; the record found is that rollout or a later one.
    Lost,
    // Nothing was written, and no write is outstanding.
    NotWritten,
    // The write may have taken effect, or may still take effect.
    Unknown,
};

// The outcome of an attempt to roll, and the newest rollout object seen.
struct RollResult {
    RollOutcome outcome = RollOutcome::Unknown;
    RolloutRecord found;
};

// The next call of an attempt, or its result.
using RollStep = std::variant<PlatformRequest, RollResult>;

// One attempt to raise the rollout object from generation n to n+1 by a conditional update with a unique token. It writes
// at most once. After a write without success, the attempt reads the object and looks for its token.
class RollAttempt
{
public:
    // The record holds digest, token, operator, approval and time; generation and past rollouts are set from the object.
    explicit RollAttempt(RolloutRecord proposed);

    // Returns the first call.
    RollStep start();

    // Returns the next call, or the result, after the reply to the last call.
    RollStep next(const PlatformReply &reply);

    // The record that was or will be written.
    const RolloutRecord &proposed() const;

private:
    enum class Phase {
        ReadBase,
        Write,
        ReadBack,
    };

    RollStep writeProposed(const PlatformReply &base);
    RollStep readBack();
    RollStep settle(const PlatformReply &reply);
    bool tookEffect(const RolloutRecord &found) const;

    RolloutRecord m_proposed;
    Phase m_phase = Phase::ReadBase;
    PlatformOutcome m_writeOutcome = PlatformOutcome::Unknown;
    unsigned m_readBacks = 0;
};
}
