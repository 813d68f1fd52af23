#include "stand_ins/simulation/bundles.h"
#include "stand_ins/simulation/invariants.h"
#include "stand_ins/simulation/simulation.h"

#include <iostream>
#include <optional>
#include <set>

// Runs every fault at every step of a query's path and prints a table of what the caller got. A new entry in the list of
// faults or of steps adds its cells by itself. Exits with 1 if a promise was broken in any cell.

using namespace Quetzallift;
using namespace Simulation;
using namespace std::chrono_literals;

namespace
{
// A fault: how it changes the outcome of a sub-request that it hits, or how it settles a claim.
struct Fault {
    const char *name;
    std::optional<OutcomeKind> outcome;
    Duration extraDelay{};
    std::optional<ClaimResult> claim;
    // Longer than the query's deadline if the claim's answer is lost.
    Duration claimDelay{};
};

// A step: which sub-requests a fault hits there, how long after sending, and what else happens in the run.
struct StepCase {
    Step step;
    std::function<bool(const SendSubRequest &, unsigned attemptOfShard)> hits;
    Duration when{};
    bool repeatable = true;
    bool firstIsSlow = false;
    bool stops = false;
};

const std::vector<Fault> &faults()
{
    static const std::vector<Fault> all = {
        {"slow", OutcomeKind::Ok, 70ms, {}, {}},
        {"silent", OutcomeKind::Silent, {}, {}, {}},
        {"refuse", OutcomeKind::Refuse, {}, {}, {}},
        {"reset", OutcomeKind::Reset, {}, {}, {}},
        {"wrong snapshot", OutcomeKind::WrongSnapshot, {}, {}, {}},
        {"crossed reply", OutcomeKind::Crossed, {}, {}, {}},
        {"truncated reply", OutcomeKind::Truncated, {}, {}, {}},
        {"doubled reply", OutcomeKind::Doubled, {}, {}, {}},
        {"shed", OutcomeKind::Shed, {}, {}, {}},
        {"drain", OutcomeKind::Drain, {}, {}, {}},
        {"lost claim answer", {}, {}, ClaimResult::Granted, 700ms},
        {"platform down", {}, {}, ClaimResult::NotClaimed, 400ms},
    };
    return all;
}

bool firstOfShard0(const SendSubRequest &send, unsigned attempt)
{
    return send.request.shard.value == 0 && attempt == 1;
}

bool anyOfOneSearcher(const SendSubRequest &send, unsigned)
{
    return send.searcher == "s0r0";
}

bool laterOfShard0(const SendSubRequest &send, unsigned attempt)
{
    return send.request.shard.value == 0 && attempt > 1;
}

bool everyFirst(const SendSubRequest &, unsigned attempt)
{
    return attempt == 1;
}

bool lastShard(const SendSubRequest &send, unsigned)
{
    return send.request.shard.value == 3;
}

const std::vector<StepCase> &steps()
{
    static const std::vector<StepCase> all = {
        {Step::Admit, anyOfOneSearcher, {}, true, false, false},
        {Step::Claim, anyOfOneSearcher, {}, false, false, false},
        {Step::Plan, everyFirst, {}, true, false, false},
        {Step::Connect, firstOfShard0, {}, true, false, false},
        {Step::Send, firstOfShard0, 1ms, true, false, false},
        {Step::Wait, firstOfShard0, 4ms, true, false, false},
        {Step::Hedge, laterOfShard0, 5ms, true, true, false},
        {Step::Cancel, firstOfShard0, 60ms, true, true, false},
        {Step::Gather, lastShard, 6ms, true, false, false},
        {Step::Merge, everyFirst, 5ms, true, false, false},
        {Step::Answer, firstOfShard0, 600ms, true, false, false},
        {Step::Stop, firstOfShard0, 5ms, false, false, true},
    };
    return all;
}

// One run with faults at a step, and its result in a few words.
class Cell
{
public:
    Cell(const StepCase &step, std::vector<const Fault *> hit)
        : m_step(step)
        , m_faults(std::move(hit))
        , m_simulation(makeBundle(4, 3, DeadlinePreference::Coverage))
    {
        m_simulation.observe = [this](const Event &event, const Effects &effects) {
            m_invariants.check(event, effects, m_simulation.state);
        };
        m_simulation.outcome = [this](const SendSubRequest &send) {
            return outcomeOf(send);
        };
        m_simulation.settle = [this](const RequestClaim &request, Duration &delay) {
            return settle(request, delay);
        };
    }

    std::string run()
    {
        QueryRequest request;
        request.requestId = "r1";
        request.caller = "guide";
        request.backEnd = "data";
        request.key = "pass";
        request.repeatable = m_step.repeatable;
        m_simulation.after(0ms, EventBody{QueryArrived{{1}, request}});
        if (m_step.stops) {
            m_simulation.after(1ms, EventBody{StopRequested{}});
        }
        m_simulation.run();
        m_invariants.checkEnd(m_simulation.state);
        const QueryAnswer &answer = m_simulation.answers.at({1}).at(0).answer;
        std::string text = toString(answer.status);
        if (answer.status != AnswerStatus::Whole) {
            text += std::string(", ") + toString(answer.execution);
        }
        for (const MissingShard &entry : answer.missing) {
            m_reasons.insert(toString(entry.failure.kind));
        }
        for (const std::string &reason : m_reasons) {
            text += " (" + reason + ")";
        }
        return m_invariants.violation().empty() ? text : "BROKEN: " + m_invariants.violation();
    }

private:
    Outcome outcomeOf(const SendSubRequest &send)
    {
        const unsigned attempt = ++m_attempts[send.request.shard];
        Outcome outcome;
        if (m_step.firstIsSlow && firstOfShard0(send, attempt)) {
            outcome.delay = 200ms;
        }
        if (m_step.hits(send, attempt)) {
            // Two faults hit alternate attempts, so that each of them strikes.
            const Fault &fault = *m_faults[(m_hits++) % m_faults.size()];
            outcome.kind = fault.outcome.value_or(outcome.kind);
            outcome.delay = std::max<Duration>(m_step.when, 1ms) + fault.extraDelay;
        }
        return outcome;
    }

    ClaimSettled settle(const RequestClaim &request, Duration &delay)
    {
        ClaimSettled settled{request.query, ClaimResult::Granted, {}, {}};
        delay = 2ms;
        for (const Fault *fault : m_faults) {
            settled.result = fault->claim.value_or(settled.result);
            delay = std::max(delay, fault->claimDelay);
        }
        return settled;
    }

    const StepCase &m_step;
    std::vector<const Fault *> m_faults;
    ::Simulation::Simulation m_simulation;
    Invariants m_invariants;
    std::map<ShardId, unsigned> m_attempts;
    std::set<std::string> m_reasons;
    std::size_t m_hits = 0;
};

// Runs all pairs of faults at a step.
std::string runPairs(const StepCase &step, bool &broken)
{
    std::size_t pairs = 0;
    std::size_t whole = 0;
    for (std::size_t first = 0; first < faults().size(); ++first) {
        for (std::size_t second = 0; second < faults().size(); ++second) {
            if (first == second) {
                continue;
            }
            const std::string text = Cell(step, {&faults()[first], &faults()[second]}).run();
            ++pairs;
            whole += text == "whole" ? 1 : 0;
            if (text.starts_with("BROKEN")) {
                broken = true;
                return text + " with " + faults()[first].name + " and " + faults()[second].name;
            }
        }
    }
    return std::to_string(whole) + " of " + std::to_string(pairs) + " whole";
}
}

int main()
{
    bool broken = false;
    std::cout << "| step |";
    for (const Fault &fault : faults()) {
        std::cout << ' ' << fault.name << " |";
    }
    std::cout << " two at once |\n|---|";
    for (std::size_t column = 0; column <= faults().size(); ++column) {
        std::cout << "---|";
    }
    std::cout << '\n';
    for (const StepCase &step : steps()) {
        std::cout << "| " << toString(step.step) << " |";
        for (const Fault &fault : faults()) {
            const std::string text = Cell(step, {&fault}).run();
            broken = broken || text.starts_with("BROKEN");
            std::cout << ' ' << text << " |";
        }
        std::cout << ' ' << runPairs(step, broken) << " |\n";
    }
    return broken ? 1 : 0;
}
