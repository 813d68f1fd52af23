#pragma once

#include "quetzallift/core/effect.h"
#include "quetzallift/core/event.h"
#include "quetzallift/core/state.h"

#include <map>
#include <set>
#include <string>

namespace Simulation
{
// Checks after every event of a simulated run what must hold whatever fails, and keeps the first violation.
class Invariants
{
public:
    // Checks the effects of one event and the state after it.
    void check(const Quetzallift::Event &event, const Quetzallift::Effects &effects, const Quetzallift::State &state);

    // Checks that every query was answered and every granted claim recorded, at the end of a run.
    void checkEnd(const Quetzallift::State &state);

    // The first violation, or empty.
    const std::string &violation() const
    {
        return m_violation;
    }

private:
    struct Posted {
        Quetzallift::QueryRequest request;
        Quetzallift::TimePoint deadline;
        bool answered = false;
        bool abandoned = false;
    };

    void require(bool holds, const std::string &promise);
    void noteEvent(const Quetzallift::Event &event);
    void checkSend(const Quetzallift::SendSubRequest &send, const Quetzallift::State &state);
    void checkAnswer(Quetzallift::QueryId query, Quetzallift::TimePoint at);
    void checkContent(const Quetzallift::SendAnswer &effect);
    void checkCounts(const Quetzallift::CountMetric &count);
    void checkState(const Quetzallift::State &state);

    std::string m_violation;
    std::map<Quetzallift::QueryId, Posted> m_posted;
    std::set<std::string> m_granted;
    std::set<std::string> m_recorded;
    // Requests of which a sub-request may have reached a searcher, and attempts not known to have stayed here.
    std::map<Quetzallift::AttemptId, std::string> m_reached;
    // Sub-requests sent of each request that may not be repeated, by shard.
    std::set<std::pair<std::string, Quetzallift::ShardId>> m_sentOnce;
    double m_subRequests = 0;
    double m_hedges = 0;
};
}
