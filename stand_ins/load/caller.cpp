#include "stand_ins/load/caller.h"

#include "quetzallift/edge/eventloop.h"
#include "quetzallift/edge/urlencoding.h"
#include "stand_ins/load/checker.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iostream>

namespace Load
{
using namespace Quetzallift;
using nlohmann::json;

namespace
{
// How much longer than the deadline a caller waits before it takes the query for lost.
constexpr std::chrono::milliseconds Patience{1000};
}

struct Caller::Query {
    std::string id;
    std::string key;
    bool repeatable = true;
    Duration due;
    TimePoint dueAt;
    unsigned tries = 0;
};

Caller::Caller(EventLoop &loop, const Plan &plan, CallerPlan settings, const Checker &checker, std::uint64_t seed)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_warmUp(plan.warmUp)
    , m_checker(checker)
    , m_random(seed)
    , m_runName(m_settings.name + "-" + std::to_string(std::random_device{}()))
    , m_client(loop, m_settings.localAddress)
    , m_addresses(loop, m_client, plan.hosts, "data_centre=" + encodeUrlComponent(m_settings.dataCentre) + "&caller=" + encodeUrlComponent(m_settings.name))
{ }

const CallerPlan &Caller::settings() const
{
    return m_settings;
}

const Tally &Caller::tally() const
{
    return m_tally;
}

void Caller::start(std::function<void()> ready)
{
    m_addresses.start(std::move(ready));
}

void Caller::run(TimePoint start, std::function<void()> done)
{
    m_start = start;
    m_done = std::move(done);
    scheduleNext();
}

double Caller::rateAt(Duration sinceStart) const
{
    Duration end = Duration::zero();
    for (const Phase &phase : m_settings.phases) {
        end += phase.length;
        if (sinceStart < end) {
            return m_settings.rate * phase.factor;
        }
    }
    return 0.0;
}

void Caller::scheduleNext()
{
    const double rate = rateAt(m_nextDue);
    if (rate <= 0.0) {
        m_finished = true;
        if (m_open == 0) {
            m_done();
        }
        return;
    }
    const std::chrono::duration<double> gap(std::exponential_distribution<double>(rate)(m_random));
    m_nextDue += std::chrono::duration_cast<Duration>(gap);
    m_loop.callAt(m_start + m_nextDue, [this] {
        sendNew();
    });
}

void Caller::sendNew()
{
    const auto query = std::make_shared<Query>();
    const std::string number = std::to_string(++m_lastQuery);
    query->repeatable = !std::bernoulli_distribution(m_settings.onceShare)(m_random);
    query->id = (query->repeatable ? "" : "once-") + m_runName + "-" + number;
    // A key of its own makes an answer to another query visible.
    query->key = "key-" + m_runName + "-" + number;
    query->due = m_nextDue;
    query->dueAt = m_start + m_nextDue;
    ++m_open;
    send(query);
    scheduleNext();
}

void Caller::send(const QueryPtr &query)
{
    const Duration left = m_settings.deadline - (Clock::now() - query->dueAt);
    const auto leftMs = std::max(std::chrono::duration<double, std::milli>(left).count(), 1.0);
    const json body = {
        {"request", query->id},
        {"caller", m_settings.name},
        {"back_end", m_settings.backEnd},
        {"key", query->key},
        {"deadline_ms", leftMs},
        {"minimum_coverage", m_settings.minimumCoverage},
        {"repeatable", query->repeatable},
    };
    const std::string host = m_addresses.host(query->tries++);
    HttpRequest request;
    request.method = "POST";
    request.url = "http://" + host + "/v1/query";
    request.body = body.dump();
    request.headers = {"Content-Type: application/json"};
    request.timeout = std::max(left, Duration::zero()) + Patience;
    m_client.send(std::move(request), [this, query, host](const HttpResult &result) {
        handleResult(query, host, result);
    });
}

void Caller::handleResult(const QueryPtr &query, const std::string &host, const HttpResult &result)
{
    switch (result.outcome) {
    case HttpOutcome::Responded:
        end(query, judge(*query, result.body));
        break;
    case HttpOutcome::TimedOut:
        std::cerr << "no answer in time from " << host << " to " << query->id << '\n';
        end(query, End::Lost);
        break;
    case HttpOutcome::Refused:
    case HttpOutcome::Reset:
        handleClosed(query, host);
        break;
    }
}

void Caller::handleClosed(const QueryPtr &query, const std::string &host)
{
    m_addresses.noteFailure(host);
    if (!query->repeatable && !m_settings.resendOnce) {
        end(query, End::Unknown);
        return;
    }
    const bool timeLeft = Clock::now() - query->dueAt < m_settings.deadline;
    if (query->tries >= std::max<std::size_t>(m_addresses.size(), 2) || !timeLeft) {
        std::cerr << "no host answered " << query->id << "; the last was " << host << '\n';
        end(query, End::Lost);
        return;
    }
    // The host that failed is last in the order now, so that the first one is a host not tried yet.
    const unsigned tries = query->tries;
    query->tries = 0;
    send(query);
    query->tries = tries + 1;
}

End Caller::judge(const Query &query, const std::string &body)
{
    const json answer = json::parse(body, nullptr, false);
    if (answer.is_discarded()) {
        std::cerr << "not JSON, for " << query.id << ": " << body << '\n';
        return End::Wrong;
    }
    const std::string status = answer.value("status", "");
    if (status == "refused") {
        return End::Refused;
    }
    m_tally.addCoverage(answer.value("/coverage/ratio"_json_pointer, 0.0));
    if (status != "whole" && status != "partial") {
        return End::Failed;
    }
    const Verdict verdict = m_checker.check(m_settings.backEnd, query.key, m_settings.minimumCoverage, answer);
    if (verdict == Verdict::Right) {
        return status == "whole" ? End::Whole : End::Partial;
    }
    std::cerr << (verdict == Verdict::Wrong ? "wrong" : "silently partial") << " answer to " << query.id << ": " << body << '\n';
    return verdict == Verdict::Wrong ? End::Wrong : End::SilentPartial;
}

void Caller::end(const QueryPtr &query, End end)
{
    m_tally.add(end, query->due, Clock::now() - query->dueAt, m_settings.deadline, query->due >= m_warmUp);
    --m_open;
    if (m_finished && m_open == 0) {
        m_done();
    }
}
}
