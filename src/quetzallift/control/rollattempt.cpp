#include "quetzallift/control/rollattempt.h"

#include <algorithm>
#include <utility>

namespace Quetzallift
{
namespace
{
// Failed reads after which the attempt ends without knowing what the object holds.
constexpr unsigned MaximumReadBacks = 5;

PlatformRequest readRollout()
{
    PlatformRequest request;
    request.object = "rollout";
    return request;
}

std::vector<PastRollout> extendedHistory(const RolloutRecord &base)
{
    std::vector<PastRollout> past = {{base.generation, base.digest, base.token, base.operatorName, base.rolledAt}};
    past.insert(past.end(), base.past.begin(), base.past.end());
    past.resize(std::min(past.size(), MaximumPastRollouts));
    return past;
}
}

RollAttempt::RollAttempt(RolloutRecord proposed)
    : m_proposed(std::move(proposed))
{ }

RollStep RollAttempt::start()
{
    return readRollout();
}

RollStep RollAttempt::next(const PlatformReply &reply)
{
    switch (m_phase) {
    case Phase::ReadBase:
        return writeProposed(reply);
    case Phase::Write:
        m_writeOutcome = reply.outcome;
        if (reply.outcome == PlatformOutcome::Applied) {
            return RollResult{RollOutcome::Won, m_proposed};
        }
        return readBack();
    case Phase::ReadBack:
        break;
    }
    return settle(reply);
}

const RolloutRecord &RollAttempt::proposed() const
{
    return m_proposed;
}

RollStep RollAttempt::writeProposed(const PlatformReply &base)
{
    const auto *record = std::get_if<RolloutRecord>(&base.value);
    if (base.outcome == PlatformOutcome::Unknown || (base.outcome == PlatformOutcome::Applied && record == nullptr)) {
        return RollResult{RollOutcome::NotWritten, {}};
    }
    m_phase = Phase::Write;
    PlatformRequest request = readRollout();
    if (record == nullptr) {
        m_proposed.generation = Generation{1};
        request.verb = PlatformVerb::Create;
    } else {
        m_proposed.generation = Generation{record->generation.value + 1};
        m_proposed.past = extendedHistory(*record);
        request.verb = PlatformVerb::Update;
        request.version = base.version;
    }
    request.value = m_proposed;
    return request;
}

RollStep RollAttempt::readBack()
{
    m_phase = Phase::ReadBack;
    ++m_readBacks;
    return readRollout();
}

RollStep RollAttempt::settle(const PlatformReply &reply)
{
    const bool refused = m_writeOutcome == PlatformOutcome::NotApplied;
    const auto *found = std::get_if<RolloutRecord>(&reply.value);
    if (found == nullptr && reply.outcome != PlatformOutcome::NotApplied) {
        if (m_readBacks < MaximumReadBacks) {
            return readBack();
        }
        return RollResult{refused ? RollOutcome::NotWritten : RollOutcome::Unknown, {}};
    }
    const RolloutRecord record = found != nullptr ? *found : RolloutRecord();
    if (tookEffect(record)) {
        return RollResult{RollOutcome::Won, record};
    }
    if (record.generation >= m_proposed.generation) {
        return RollResult{RollOutcome::Lost, record};
    }
    // An unanswered write may still arrive, so an unchanged object does not prove that the write has no effect.
    return RollResult{refused ? RollOutcome::NotWritten : RollOutcome::Unknown, record};
}

bool RollAttempt::tookEffect(const RolloutRecord &found) const
{
    return found.token == m_proposed.token || std::any_of(found.past.begin(), found.past.end(), [this](const PastRollout &past) {
               return past.token == m_proposed.token;
           });
}
}
