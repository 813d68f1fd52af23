#include "stand_ins/simulation/invariants.h"
#include "tests/query/naive.h"
#include "tests/query/simulationfixture.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace Quetzallift;
using namespace std::chrono_literals;

namespace
{
// A random history of one simulation, and the answers of the naive implementation at the arrival of each query.
class History
{
public:
    History()
        : m_simulation(Simulation::makeBundle(5, 2, *rc::gen::element(DeadlinePreference::Latency, DeadlinePreference::Coverage)))
        , m_faultsAllowed(*rc::gen::inRange(0, 3) > 0)
        , m_limited(*rc::gen::inRange(0, 2) > 0)
    {
        if (!m_limited) {
            m_simulation.state.hooks.searcherWindow = unlimitedWindow;
            m_simulation.state.hooks.queryLimit = unlimitedQueries;
            m_simulation.state.hooks.meetsDeadline = ignoreDeadline;
        }
        m_simulation.observe = [this](const Event &event, const Effects &effects) {
            m_invariants.check(event, effects, m_simulation.state);
        };
        m_simulation.outcome = [this](const SendSubRequest &send) {
            return outcomeOf(send);
        };
    }

    void run()
    {
        for (std::uint64_t query = 1; query <= 12; ++query) {
            m_simulation.after(std::chrono::milliseconds(*rc::gen::inRange(0, 400)), [this, query] {
                arrive(query);
            });
        }
        for (int change = *rc::gen::inRange(0, 4); change > 0; --change) {
            m_simulation.after(std::chrono::milliseconds(*rc::gen::inRange(0, 400)), [this] {
                changeWorld();
            });
        }
        m_simulation.run();
        m_invariants.checkEnd(m_simulation.state);
        RC_ASSERT(m_invariants.violation() == std::string());
        for (const auto &[query, answers] : m_simulation.answers) {
            compare(query, answers.at(0).answer);
        }
    }

private:
    Outcome outcomeOf(const SendSubRequest &send)
    {
        const int delay = *rc::gen::inRange(1, 60);
        const bool works = !m_faultsAllowed || *rc::gen::inRange(0, 8) > 0;
        const auto kind = static_cast<OutcomeKind>(*rc::gen::inRange(1, static_cast<int>(OutcomeKind::Doubled) + 1));
        // A searcher that shows by a drain status or by refused or closed connections that it is leaving gets no work from
        // later queries either; both replicas of a shard can be leaving.
        const bool leaves = kind == OutcomeKind::Drain || kind == OutcomeKind::Refuse || kind == OutcomeKind::Reset;
        m_changed = m_changed || (!works && leaves);
        m_faulty.insert(works ? std::string() : send.request.requestId);
        return Outcome{works ? OutcomeKind::Ok : kind, std::chrono::milliseconds(delay)};
    }

    void arrive(std::uint64_t id)
    {
        QueryRequest request = SimulationFixture::request(id, *rc::gen::inRange(0, 4) > 0);
        request.minimumCoverage = *rc::gen::element(0.0, 0.5, 1.0);
        NaiveTier naive(m_simulation.world, [](const std::string &) {
            return true;
        });
        const BackEnd &backEnd = *m_simulation.bundle().backEnd("data");
        if (const auto answer = naive.run(backEnd, request)) {
            m_naive[{id}] = *answer;
        }
        m_simulation.after(0ms, EventBody{QueryArrived{{id}, request}});
        if (*rc::gen::inRange(0, 8) == 0) {
            m_simulation.after(10ms, EventBody{QueryAbandoned{{id}}});
        }
    }

    // Moves all searchers to a newer snapshot range, and at random announces a repartition from a later snapshot on.
    void changeWorld()
    {
        m_changed = true;
        m_newest += 2;
        if (*rc::gen::inRange(0, 3) == 0) {
            m_simulation.roll(Simulation::repartition(m_simulation.bundle(), {m_newest + 1}));
            for (const auto &[address, searcher] : m_simulation.bundle().backEnd("data")->searchers) {
                m_simulation.world.searchers.try_emplace(address, Simulation::SnapshotRange{{m_newest - 2}, {m_newest}});
            }
        }
        for (auto &[address, range] : m_simulation.world.searchers) {
            range = {{m_newest - 1}, {m_newest}};
        }
    }

    void compare(QueryId query, const QueryAnswer &answer)
    {
        const bool truncated = std::any_of(answer.missing.begin(), answer.missing.end(), [](const MissingShard &entry) {
            return entry.failure.kind == FailureKind::Truncated;
        });
        const BackEnd &backEnd = *m_simulation.bundle().backEnd("data");
        if ((answer.status == AnswerStatus::Whole || answer.status == AnswerStatus::Partial) && !truncated) {
            RC_ASSERT(answer.rows == NaiveTier::rowsOf(backEnd, answer.snapshot, answer.missing));
        }
        const auto naive = m_naive.find(query);
        // With limits, sub-requests wait for a searcher's window, and a query without any fault can reach its deadline; the
        // naive implementation has no limits. Without limits both must agree.
        const bool quiet = !m_limited && !m_changed && !m_faulty.contains("r" + std::to_string(query.value));
        if (naive != m_naive.end() && quiet && answer.status != AnswerStatus::Refused) {
            RC_ASSERT(answer.snapshot == naive->second.snapshot);
            RC_ASSERT(answer.missing.empty() == (answer.rows == naive->second.rows));
            RC_ASSERT(answer.status == AnswerStatus::Whole);
            RC_ASSERT(answer.coverage.weightCovered == naive->second.coverage.weightCovered);
        }
    }

    Simulation::Simulation m_simulation;
    Simulation::Invariants m_invariants;
    bool m_faultsAllowed;
    bool m_limited;
    bool m_changed = false;
    std::uint64_t m_newest = 1;
    std::set<std::string> m_faulty;
    std::map<QueryId, QueryAnswer> m_naive;
};
}

// Guards against rows, snapshot or coverage that differ from those of a sequential implementation, and against a violated
// invariant after any event, while snapshots advance, layouts change and sub-requests fail during queries.
Test(differential, agreesWithTheNaiveImplementation)
{
    setenv("RC_PARAMS", "seed=20261204 max_success=300", 1);
    cr_assert(rc::check("random histories", [] {
        History().run();
    }));
}
