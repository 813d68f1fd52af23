#include "quetzallift/control/rollattempt.h"

#include <criterion/criterion.h>

using namespace Quetzallift;

namespace
{
RolloutRecord proposedRollout(const std::string &digest, const std::string &token, const std::string &operatorName)
{
    RolloutRecord record;
    record.digest = digest;
    record.token = token;
    record.operatorName = operatorName;
    return record;
}

// The rollout object in the platform. The test applies a call and delivers its answer separately.
struct Object {
    std::uint64_t version = 0;
    RolloutRecord record;

    PlatformReply apply(const PlatformRequest &request)
    {
        PlatformReply reply{PlatformOutcome::Applied, version, {}, {}};
        const bool holds = (request.verb == PlatformVerb::Create && version == 0) || (request.verb == PlatformVerb::Update && version == request.version);
        if (request.verb == PlatformVerb::Read) {
            reply.outcome = version == 0 ? PlatformOutcome::NotApplied : PlatformOutcome::Applied;
            reply.value = version == 0 ? PlatformValue() : PlatformValue(record);
        } else if (holds) {
            record = std::get<RolloutRecord>(request.value);
            reply.version = ++version;
        } else {
            reply.outcome = PlatformOutcome::NotApplied;
        }
        return reply;
    }
};

RollResult runToEnd(RollAttempt &attempt, Object &object, RollStep step)
{
    while (const auto *request = std::get_if<PlatformRequest>(&step)) {
        step = attempt.next(object.apply(*request));
    }
    return std::get<RollResult>(step);
}

const PlatformRequest &requestOf(const RollStep &step)
{
    return std::get<PlatformRequest>(step);
}
}

// Guards against a roll that is reported as failed or repeated although it succeeded and only the answer was lost.
Test(rollattempt, lostAnswerAfterTheWriteTookEffectIsAWin)
{
    Object object;
    RollAttempt attempt(proposedRollout("a", "token-a", "desk"));
    const RollStep write = attempt.next(object.apply(requestOf(attempt.start())));
    object.apply(requestOf(write));
    const RollResult result = runToEnd(attempt, object, attempt.next(PlatformReply()));
    cr_assert(result.outcome == RollOutcome::Won);
    cr_assert_eq(object.version, 1U);
}

// Guards against a win that is reported as lost because another operator rolled before the token was read back.
Test(rollattempt, supersededWinIsFoundInHistory)
{
    Object object;
    RollAttempt first(proposedRollout("a", "token-a", "desk"));
    const RollStep write = first.next(object.apply(requestOf(first.start())));
    object.apply(requestOf(write));
    RollAttempt second(proposedRollout("b", "token-b", "agent"));
    cr_assert(runToEnd(second, object, second.start()).outcome == RollOutcome::Won);
    cr_assert(runToEnd(first, object, first.next(PlatformReply())).outcome == RollOutcome::Won);
    cr_assert_eq(object.record.generation.value, 2U);
}

// Guards against a paused operator that resumes and overwrites a rollout made in the meantime.
Test(rollattempt, pausedOperatorLosesAndReceivesTheWinner)
{
    Object object;
    RollAttempt paused(proposedRollout("a", "token-a", "desk"));
    const RollStep write = paused.next(object.apply(requestOf(paused.start())));
    RollAttempt other(proposedRollout("b", "token-b", "agent"));
    cr_assert(runToEnd(other, object, other.start()).outcome == RollOutcome::Won);
    const RollResult result = runToEnd(paused, object, write);
    cr_assert(result.outcome == RollOutcome::Lost);
    cr_assert_eq(result.found.operatorName, "agent");
    cr_assert_eq(object.record.digest, "b");
}

// Guards against reporting a definite outcome that is not known, or an unknown one for a write that was never sent, while
// the platform is unavailable.
Test(rollattempt, platformDownAtEachStep)
{
    RollAttempt atRead(proposedRollout("a", "t", "desk"));
    atRead.start();
    cr_assert(std::get<RollResult>(atRead.next(PlatformReply())).outcome == RollOutcome::NotWritten);
    Object object;
    RollAttempt atWrite(proposedRollout("a", "t", "desk"));
    RollStep step = atWrite.next(object.apply(requestOf(atWrite.start())));
    while (std::holds_alternative<PlatformRequest>(step)) {
        step = atWrite.next(PlatformReply());
    }
    cr_assert(std::get<RollResult>(step).outcome == RollOutcome::Unknown);
}

// Guards against a write that is reported as not made although it may still arrive at the platform.
Test(rollattempt, unansweredWriteThatIsNotVisibleIsUnknown)
{
    Object object;
    RollAttempt attempt(proposedRollout("a", "token-a", "desk"));
    attempt.next(object.apply(requestOf(attempt.start())));
    cr_assert(runToEnd(attempt, object, attempt.next(PlatformReply())).outcome == RollOutcome::Unknown);
}
