#include "stand_ins/simulation/simulation.h"

namespace Simulation
{
using namespace Quetzallift;

Simulation::Simulation(RefPtr<Bundle> bundle)
{
    settle = [](const RequestClaim &request, Duration &delay) {
        delay = std::chrono::milliseconds(2);
        return ClaimSettled{request.query, ClaimResult::Granted, {}, {}};
    };
    for (const auto &[name, backEnd] : bundle->backEnds) {
        for (const auto &[address, searcher] : backEnd.searchers) {
            world.searchers[address] = {{1}, {1}};
        }
    }
    roll(std::move(bundle));
}

void Simulation::roll(RefPtr<Bundle> bundle)
{
    m_bundle = std::move(bundle);
    const RefPtr<ControlSnapshot> control(new ControlSnapshot);
    control->generation = {++m_generation};
    control->bundle = m_bundle;
    for (const auto &[name, backEnd] : m_bundle->backEnds) {
        for (const auto &[address, searcher] : backEnd.searchers) {
            control->connectionShares[address] = searcher.connectionLimit;
        }
    }
    apply(ControlSnapshotPublished{control});
}

void Simulation::after(Duration delay, EventBody body)
{
    after(delay, [this, body = std::move(body)] {
        apply(body);
    });
}

void Simulation::after(Duration delay, std::function<void()> change)
{
    add(delay, {std::move(change), false});
}

void Simulation::add(Duration delay, Entry entry)
{
    m_foreground += entry.background ? 0 : 1;
    m_agenda.emplace(m_now + std::max(delay, Duration::zero()), std::move(entry));
}

void Simulation::startTimer(const StartTimer &timer)
{
    const TimerKind kind = timer.timer.kind;
    const bool ofQuery = kind == TimerKind::QueryDeadline || kind == TimerKind::LatencyTarget || kind == TimerKind::StragglerCheck;
    const auto fire = [this, key = timer.timer] {
        apply(TimerFired{key});
    };
    add(timer.at - m_now, {fire, !ofQuery});
}

void Simulation::run()
{
    while (m_foreground > 0) {
        const auto next = m_agenda.begin();
        m_now = next->first;
        const Entry entry = std::move(next->second);
        m_agenda.erase(next);
        m_foreground -= entry.background ? 0 : 1;
        entry.happen();
    }
}

void Simulation::apply(EventBody body)
{
    const Event event{m_now, std::move(body)};
    const Effects effects = reduce(state, event);
    if (observe) {
        observe(event, effects);
    }
    for (const Effect &effect : effects) {
        carryOut(effect);
    }
}

void Simulation::carryOut(const Effect &effect)
{
    if (const auto *sub = std::get_if<SendSubRequest>(&effect)) {
        send(*sub);
    } else if (const auto *answer = std::get_if<SendAnswer>(&effect)) {
        answers[answer->query].push_back({m_now, answer->answer});
    } else if (const auto *recorded = std::get_if<SendRecordedAnswer>(&effect)) {
        answers[recorded->query].push_back({m_now, {}, true});
    } else if (const auto *timer = std::get_if<StartTimer>(&effect)) {
        startTimer(*timer);
    } else if (const auto *request = std::get_if<RequestClaim>(&effect)) {
        claim(*request);
    }
}

void Simulation::claim(const RequestClaim &effect)
{
    Duration delay{};
    const ClaimSettled settled = settle(effect, delay);
    after(delay, EventBody{settled});
}

void Simulation::send(const SendSubRequest &effect)
{
    const Outcome how = outcome(effect);
    const Duration left = effect.request.deadline - m_now;
    const bool inTime = how.kind != OutcomeKind::Silent && how.delay < left;
    after(inTime ? how.delay : left, [this, effect, kind = inTime ? how.kind : OutcomeKind::Silent] {
        deliver(effect, kind);
    });
}

void Simulation::deliver(const SendSubRequest &effect, OutcomeKind kind)
{
    const auto fail = [&](Step step, FailureKind failure, bool sent) {
        apply(SubRequestFailed{effect.attempt, {step, effect.searcher, failure, {}}, sent});
    };
    SubReply reply = world.reply(m_bundle->backEnds.at(effect.request.backEnd), effect.searcher, effect.attempt, effect.request);
    switch (kind) {
    case OutcomeKind::Silent:
        return fail(Step::Wait, FailureKind::Timeout, true);
    case OutcomeKind::Refuse:
        return fail(Step::Connect, FailureKind::ConnectionRefused, false);
    case OutcomeKind::Reset:
        return fail(Step::Wait, FailureKind::ConnectionReset, true);
    case OutcomeKind::Shed:
    case OutcomeKind::Drain:
        reply.status = kind == OutcomeKind::Shed ? SubReplyStatus::Shed : SubReplyStatus::Draining;
        reply.rows.clear();
        break;
    case OutcomeKind::WrongSnapshot:
        ++reply.snapshot.value;
        break;
    case OutcomeKind::Crossed:
        ++reply.attempt.value;
        ++reply.shard.value;
        break;
    case OutcomeKind::Truncated:
        reply.truncated = true;
        reply.rows.resize(std::min<std::size_t>(reply.rows.size(), 1));
        break;
    case OutcomeKind::Doubled:
        apply(SubReplyArrived{effect.attempt, reply});
        break;
    case OutcomeKind::Ok:
        break;
    }
    apply(SubReplyArrived{effect.attempt, reply});
}
}
