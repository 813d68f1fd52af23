#pragma once

#include "tests/query/queryfixture.h"

#include <algorithm>

namespace Quetzallift
{
// A query fixture with the default limits, consecutive query ids and searcher timers.
class PoolFixture : public QueryFixture
{
public:
    PoolFixture(std::size_t shards, std::size_t replicas)
        : QueryFixture(shards, replicas)
    {
        state().hooks = Hooks{};
        advance(std::chrono::hours(1));
    }

    // Changes the connection shares of all searchers, and what the host list shows as leaving.
    void publishShares(unsigned share, const std::set<std::string> &leaving = {})
    {
        RefPtr<ControlSnapshot> control(new ControlSnapshot(*state().query.control));
        for (auto &[address, connections] : control->connectionShares) {
            connections = share;
        }
        control->leavingSearchers = leaving;
        apply(ControlSnapshotPublished{control});
    }

    // Applies arrivals of queries with the next ids.
    void arriveMany(std::size_t count)
    {
        for (std::size_t index = 0; index < count; ++index) {
            arrive(QueryId{++m_lastQuery});
        }
    }

    // Sets the open connections and the window of a searcher, as after a warm-up.
    void warm(const std::string &address, unsigned open, double window)
    {
        SearcherView &view = state().query.searchers[address];
        view.open = open;
        view.window = Window{window, false};
    }

    // Fires each due searcher timer once.
    void fireSearcherTimers()
    {
        std::vector<TimerKey> due;
        for (; m_effectsSeen < effects().size(); ++m_effectsSeen) {
            if (const auto *timer = std::get_if<StartTimer>(&effects()[m_effectsSeen])) {
                m_timers.push_back(*timer);
            }
        }
        std::erase_if(m_timers, [&due, this](const StartTimer &timer) {
            const bool isSearchers = timer.timer.kind == TimerKind::SearcherQueue || timer.timer.kind == TimerKind::SearcherProbe;
            if (isSearchers && timer.at <= now()) {
                due.push_back(timer.timer);
                return true;
            }
            return false;
        });
        for (const TimerKey &timer : due) {
            apply(TimerFired{timer});
        }
    }

    // Number of sub-requests sent to a searcher.
    std::size_t sentTo(const std::string &address) const
    {
        return static_cast<std::size_t>(std::count_if(sent().begin(), sent().end(), [&address](const SendSubRequest &request) {
            return request.searcher == address;
        }));
    }

    // Number of effects of one type.
    template<typename EffectType>
    std::size_t count() const
    {
        return static_cast<std::size_t>(std::count_if(effects().begin(), effects().end(), [](const Effect &effect) {
            return std::holds_alternative<EffectType>(effect);
        }));
    }

private:
    std::uint64_t m_lastQuery = 0;
    std::size_t m_effectsSeen = 0;
    std::vector<StartTimer> m_timers;
};
}
