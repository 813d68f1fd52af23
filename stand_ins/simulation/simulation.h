#pragma once

#include "quetzallift/core/event.h"
#include "quetzallift/core/reduce.h"
#include "quetzallift/core/state.h"
#include "stand_ins/simulation/outcome.h"
#include "stand_ins/simulation/world.h"

#include <functional>
#include <map>
#include <vector>

namespace Simulation
{
// An answer and the time at which it left.
struct TimedAnswer {
    Quetzallift::TimePoint at;
    Quetzallift::QueryAnswer answer;
    bool recorded = false;
};

// Runs a traffic thread's reducer against simulated searchers and a simulated platform, in simulated time. Replies of
// cancelled sub-requests still arrive, as they can when the cancellation crosses them on the way.
class Simulation
{
public:
    explicit Simulation(Quetzallift::RefPtr<Quetzallift::Bundle> bundle);

    // How a searcher treats a sub-request; by default it replies after 5 ms.
    std::function<Outcome(const Quetzallift::SendSubRequest &)> outcome = [](const Quetzallift::SendSubRequest &) {
        return Outcome{};
    };
    // How a claim is settled, and after which time; by default it is granted after 2 ms.
    std::function<Quetzallift::ClaimSettled(const Quetzallift::RequestClaim &, Quetzallift::Duration &)> settle;
    // Called after each event with what it led to.
    std::function<void(const Quetzallift::Event &, const Quetzallift::Effects &)> observe;

    // Puts a bundle in force, after which the reducer hears of it at once.
    void roll(Quetzallift::RefPtr<Quetzallift::Bundle> bundle);
    // Applies an event after some time.
    void after(Quetzallift::Duration delay, Quetzallift::EventBody body);
    // Changes the world after some time.
    void after(Quetzallift::Duration delay, std::function<void()> change);
    // Runs until nothing but timers of other parts, some of which repeat for ever, is left to happen.
    void run();

    World world;
    Quetzallift::State state;
    std::map<Quetzallift::QueryId, std::vector<TimedAnswer>> answers;

    // Time since the start.
    Quetzallift::TimePoint now() const
    {
        return m_now;
    }
    // The bundle in force.
    const Quetzallift::Bundle &bundle() const
    {
        return *m_bundle;
    }

private:
    // Something that will happen; timers of the background do not keep the run going.
    struct Entry {
        std::function<void()> happen;
        bool background = false;
    };

    void add(Quetzallift::Duration delay, Entry entry);
    void startTimer(const Quetzallift::StartTimer &timer);
    void apply(Quetzallift::EventBody body);
    void carryOut(const Quetzallift::Effect &effect);
    void send(const Quetzallift::SendSubRequest &effect);
    void deliver(const Quetzallift::SendSubRequest &effect, OutcomeKind kind);
    void claim(const Quetzallift::RequestClaim &effect);

    Quetzallift::RefPtr<Quetzallift::Bundle> m_bundle;
    std::uint64_t m_generation = 0;
    // An hour after the epoch, so that no instant is mistaken for one that is not set.
    Quetzallift::TimePoint m_now{std::chrono::hours(1)};
    std::multimap<Quetzallift::TimePoint, Entry> m_agenda;
    std::size_t m_foreground = 0;
};
}
