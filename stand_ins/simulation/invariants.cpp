#include "stand_ins/simulation/invariants.h"

#include <algorithm>

namespace Simulation
{
using namespace Quetzallift;

void Invariants::require(bool holds, const std::string &promise)
{
    if (!holds && m_violation.empty()) {
        m_violation = promise;
    }
}

void Invariants::noteEvent(const Event &event)
{
    if (const auto *arrived = std::get_if<QueryArrived>(&event.body)) {
        m_posted[arrived->query] = {arrived->request, event.at + arrived->request.deadline};
    } else if (const auto *abandoned = std::get_if<QueryAbandoned>(&event.body)) {
        m_posted[abandoned->query].abandoned = true;
    } else if (const auto *failed = std::get_if<SubRequestFailed>(&event.body); failed != nullptr && !failed->sent) {
        m_reached.erase(failed->attempt);
    } else if (const auto *settled = std::get_if<ClaimSettled>(&event.body); settled != nullptr && settled->result == ClaimResult::Granted) {
        m_granted.insert(m_posted[settled->query].request.requestId);
    }
}

void Invariants::checkSend(const SendSubRequest &send, const State &state)
{
    const auto attempt = state.query.attempts.find(send.attempt);
    m_reached[send.attempt] = send.request.requestId;
    if (attempt == state.query.attempts.end()) {
        return;
    }
    const RunningQuery &query = state.query.queries.at(attempt->second.query);
    require(query.probe || send.request.snapshot == query.snapshot, "sub-requests of a query carry its snapshot");
    require(send.request.deadline < query.answerAt && query.answerAt < query.deadline, "each stage ends before the next");
    if (!query.request.repeatable) {
        require(m_granted.contains(query.request.requestId), "a request that may not be repeated is sent only after a claim");
        require(m_sentOnce.emplace(query.request.requestId, send.request.shard).second, "a request that may not be repeated is sent once");
    }
}

void Invariants::checkAnswer(QueryId query, TimePoint at)
{
    Posted &posted = m_posted[query];
    require(!posted.answered, "a query is answered once");
    require(at < posted.deadline, "an answer leaves before the caller's deadline");
    posted.answered = true;
}

void Invariants::checkContent(const SendAnswer &effect)
{
    const QueryAnswer &answer = effect.answer;
    const std::string &request = m_posted[effect.query].request.requestId;
    const bool reached = std::any_of(m_reached.begin(), m_reached.end(), [&](const auto &entry) {
        return entry.second == request;
    });
    require(answer.execution != Execution::NotRun || !reached, "not run is true");
    require(answer.coverage.shardsCovered + answer.missing.size() == answer.coverage.shardsTotal, "every shard is covered or named as missing, once");
    require((answer.status == AnswerStatus::Whole) == (answer.missing.empty() && answer.coverage.shardsTotal > 0), "whole means that nothing is missing");
    const std::string mark = "snapshot " + std::to_string(answer.snapshot.value) + " ";
    require(std::all_of(answer.rows.begin(),
                        answer.rows.end(),
                        [&](const Row &row) {
                            return row.text.find(mark) != std::string::npos;
                        }),
            "every row comes from the answer's snapshot");
}

void Invariants::checkCounts(const CountMetric &count)
{
    m_subRequests += count.metric == Metric::SubRequests ? count.amount : 0;
    m_hedges += count.metric == Metric::Hedges ? count.amount : 0;
    require(m_hedges <= 0.05 * m_subRequests + BackEndView::HedgeBurst, "hedges stay within their budget");
}

void Invariants::checkState(const State &state)
{
    std::size_t waiting = 0;
    for (const auto &[id, query] : state.query.queries) {
        waiting += query.attemptsWaiting;
        require(query.layout == query.backEnd->layoutAt(query.snapshot), "the layout is the one at the pinned snapshot");
    }
    require(waiting == state.query.attempts.size(), "every attempt belongs to a running query");
}

void Invariants::check(const Event &event, const Effects &effects, const State &state)
{
    noteEvent(event);
    for (const Effect &effect : effects) {
        if (const auto *send = std::get_if<SendSubRequest>(&effect)) {
            checkSend(*send, state);
        } else if (const auto *answer = std::get_if<SendAnswer>(&effect)) {
            checkAnswer(answer->query, event.at);
            checkContent(*answer);
        } else if (const auto *recorded = std::get_if<SendRecordedAnswer>(&effect)) {
            checkAnswer(recorded->query, event.at);
        } else if (const auto *outcome = std::get_if<RecordOutcome>(&effect)) {
            require(m_recorded.insert(outcome->object).second, "an outcome is recorded once");
        } else if (const auto *count = std::get_if<CountMetric>(&effect)) {
            checkCounts(*count);
        }
    }
    checkState(state);
}

void Invariants::checkEnd(const State &state)
{
    for (const auto &[id, posted] : m_posted) {
        require(posted.answered || (posted.abandoned && posted.request.repeatable), "every query is answered");
    }
    require(m_recorded.size() == m_granted.size(), "the outcome of every granted claim is recorded");
    require(state.query.queries.empty() && state.query.requestedClaims.empty(), "nothing of an answered query is left");
}
}
