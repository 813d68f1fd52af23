#include "benchmarks/queuemodel.h"

#include "quetzallift/core/reduce.h"

#include <algorithm>
#include <cmath>

namespace QueueModel
{
using namespace Quetzallift;

namespace
{
std::string searcherName(std::size_t index)
{
    return "searcher-" + std::to_string(index);
}
}

Model::Model(ModelSettings settings)
    : m_settings(std::move(settings))
    , m_random(m_settings.seed)
{
    for (std::size_t index = 0; index < m_settings.searchers; ++index) {
        m_searchers[searcherName(index)].dataCentre = dataCentreOf(index);
    }
    for (std::size_t index = 0; index < m_settings.hosts; ++index) {
        auto host = std::make_unique<State>();
        host->hooks = m_settings.hooks;
        host->hooks.random = [engine = std::mt19937_64(m_settings.seed + index)]() mutable {
            return engine();
        };
        host->query.dataCentre = dataCentreOf(index);
        m_hosts.push_back(std::move(host));
    }
    // Instants near zero count as "never" in no place, but the run starts well after it all the same.
    m_now = TimePoint(std::chrono::hours(1));
    publish();
}

void Model::publish()
{
    RefPtr<Bundle> bundle(new Bundle);
    BackEnd &backEnd = bundle->backEnds["data"];
    backEnd.name = "data";
    Layout layout{{1}, {}};
    for (std::size_t shard = 0; shard < m_settings.shards; ++shard) {
        layout.shards.push_back({{shard}, 1, {}});
        for (std::size_t replica = 0; replica < m_settings.replicas; ++replica) {
            layout.shards.back().replicas.push_back(searcherName((shard + replica * (m_settings.searchers / m_settings.replicas)) % m_settings.searchers));
        }
    }
    backEnd.layouts.push_back(layout);
    RefPtr<ControlSnapshot> control(new ControlSnapshot);
    for (const auto &[name, searcher] : m_searchers) {
        backEnd.searchers[name] = Searcher{name, searcher.dataCentre, m_settings.slots, m_settings.connectionLimit, std::chrono::milliseconds(1)};
        control->connectionShares[name] = std::max(1U, m_settings.connectionLimit / static_cast<unsigned>(m_settings.hosts));
    }
    for (const char *caller : {"guides", "partners"}) {
        bundle->callers[caller] = CallerPolicy{caller, 1.0, {}};
    }
    control->generation = {1};
    control->bundle = bundle;
    for (std::size_t host = 0; host < m_hosts.size(); ++host) {
        apply(host, ControlSnapshotPublished{control});
    }
}

void Model::schedule(TimePoint time, std::function<void()> action)
{
    m_steps.push({std::max(time, m_now), ++m_order, std::move(action)});
}

void Model::at(Duration time, std::function<void()> action)
{
    schedule(TimePoint(std::chrono::hours(1)) + time, std::move(action));
}

void Model::run(Duration until)
{
    const TimePoint end = TimePoint(std::chrono::hours(1)) + until;
    while (!m_steps.empty() && m_steps.top().at <= end) {
        const auto action = m_steps.top().action;
        m_now = m_steps.top().at;
        m_steps.pop();
        action();
    }
    m_now = end;
}

void Model::offer(const std::string &caller, double rate, Duration from, Duration to)
{
    at(from, [this, caller, rate, end = TimePoint(std::chrono::hours(1)) + to] {
        nextArrival(caller, rate, end);
    });
}

void Model::nextArrival(const std::string &caller, double rate, TimePoint end)
{
    const std::chrono::duration<double> gap(std::exponential_distribution<double>(rate)(m_random));
    const TimePoint next = m_now + std::chrono::duration_cast<Duration>(gap);
    if (next < end) {
        schedule(next, [this, caller, rate, end] {
            arrive(caller);
            nextArrival(caller, rate, end);
        });
    }
}

void Model::arrive(const std::string &caller)
{
    const std::uint64_t query = ++m_lastQuery;
    QueryRequest request;
    request.requestId = std::to_string(query);
    request.caller = caller;
    request.backEnd = "data";
    request.key = "pass";
    request.deadline = m_settings.deadline;
    m_open[query] = Outcome{caller, m_now};
    apply(query % m_settings.hosts, QueryArrived{{query}, request});
}

void Model::apply(std::size_t host, EventBody body)
{
    for (const Effect &effect : reduce(*m_hosts[host], Event{m_now, std::move(body)})) {
        carryOut(host, effect);
    }
}

void Model::carryOut(std::size_t host, const Effect &effect)
{
    if (const auto *request = std::get_if<SendSubRequest>(&effect)) {
        send(host, *request);
    } else if (const auto *cancelled = std::get_if<CancelSubRequest>(&effect)) {
        cancel(host, cancelled->attempt);
    } else if (const auto *answer = std::get_if<SendAnswer>(&effect)) {
        record(host, *answer);
    } else if (const auto *metric = std::get_if<CountMetric>(&effect)) {
        m_counts[{metric->metric, metric->label}] += metric->amount;
    } else if (const auto *timer = std::get_if<StartTimer>(&effect)) {
        schedule(timer->at, [this, host, key = timer->timer] {
            apply(host, TimerFired{key});
        });
    } else if (const auto *probe = std::get_if<ProbeSearcher>(&effect)) {
        schedule(m_now + delay(host, probe->searcher) * 2, [this, host, searcher = probe->searcher] {
            apply(host, SearcherProbed{searcher, !m_searchers.at(searcher).cutOff});
        });
    }
}

void Model::send(std::size_t host, const SendSubRequest &request)
{
    m_attempts[{host, request.attempt.value}] = request.searcher;
    ++m_received;
    m_far += m_searchers.at(request.searcher).dataCentre != dataCentreOf(host) ? 1 : 0;
    schedule(m_now + delay(host, request.searcher), [this, work = Work{host, request}] {
        receive(work.request.searcher, work);
    });
    schedule(request.request.deadline, [this, host, attempt = request.attempt, searcher = request.searcher] {
        endAttempt(host, attempt, SubRequestFailed{attempt, {Quetzallift::Step::Wait, searcher, FailureKind::Timeout, {}}});
    });
}

void Model::receive(const std::string &name, const Work &work)
{
    SearcherModel &searcher = m_searchers.at(name);
    if (searcher.cutOff || !m_attempts.contains({work.host, work.request.attempt.value})) {
        return;
    }
    if (searcher.queue.size() >= m_settings.queueLimit) {
        ++m_shed;
        reply(name, work, SubReplyStatus::Shed);
        return;
    }
    searcher.queue.push_back(work);
    startNext(name);
}

void Model::startNext(const std::string &name)
{
    SearcherModel &searcher = m_searchers.at(name);
    while (searcher.running.size() < m_settings.slots && !searcher.queue.empty()) {
        const Work work = searcher.queue.front();
        searcher.queue.pop_front();
        const std::pair key(work.host, work.request.attempt.value);
        searcher.running[key] = work;
        const double mean = std::chrono::duration<double>(m_settings.serviceTime).count() * searcher.slowness;
        const std::chrono::duration<double> time(std::exponential_distribution<double>(1.0 / mean)(m_random));
        schedule(m_now + std::chrono::duration_cast<Duration>(time), [this, name, key] {
            finish(name, key);
        });
    }
}

void Model::finish(const std::string &name, std::pair<std::size_t, std::uint64_t> key)
{
    const auto found = m_searchers.at(name).running.find(key);
    if (found != m_searchers.at(name).running.end()) {
        const Work work = found->second;
        m_searchers.at(name).running.erase(found);
        reply(name, work, SubReplyStatus::Ok);
        startNext(name);
    }
}

void Model::reply(const std::string &name, const Work &work, SubReplyStatus status)
{
    if (m_searchers.at(name).cutOff) {
        return;
    }
    SubReply reply;
    reply.requestId = work.request.request.requestId;
    reply.attempt = work.request.attempt;
    reply.shard = work.request.request.shard;
    reply.snapshot = work.request.request.snapshot;
    reply.status = status;
    reply.oldestSnapshot = reply.newestSnapshot = {1};
    schedule(m_now + delay(work.host, name), [this, host = work.host, reply] {
        endAttempt(host, reply.attempt, SubReplyArrived{reply.attempt, reply});
    });
}

void Model::endAttempt(std::size_t host, AttemptId attempt, EventBody event)
{
    if (m_attempts.erase({host, attempt.value}) > 0) {
        apply(host, std::move(event));
    }
}

void Model::cancel(std::size_t host, AttemptId attempt)
{
    const auto found = m_attempts.find({host, attempt.value});
    if (found == m_attempts.end()) {
        return;
    }
    schedule(m_now + delay(host, found->second), [this, name = found->second, key = found->first] {
        SearcherModel &searcher = m_searchers.at(name);
        searcher.running.erase(key);
        std::erase_if(searcher.queue, [&key](const Work &work) {
            return work.host == key.first && work.request.attempt.value == key.second;
        });
        startNext(name);
    });
    m_attempts.erase(found);
}

void Model::record(std::size_t, const SendAnswer &answer)
{
    const auto found = m_open.find(answer.query.value);
    Outcome outcome = found->second;
    outcome.latency = m_now - outcome.arrivedAt;
    outcome.status = answer.answer.status;
    m_outcomes.push_back(outcome);
    m_open.erase(found);
}

std::vector<const Outcome *> Model::select(Duration from, Duration to, const std::string &caller) const
{
    std::vector<const Outcome *> selected;
    for (const Outcome &outcome : m_outcomes) {
        const Duration time = outcome.arrivedAt - TimePoint(std::chrono::hours(1));
        if (outcome.status == AnswerStatus::Whole && time >= from && time < to && (caller.empty() || outcome.caller == caller)) {
            selected.push_back(&outcome);
        }
    }
    return selected;
}

double Model::goodput(Duration from, Duration to, const std::string &caller) const
{
    return static_cast<double>(select(from, to, caller).size()) / std::chrono::duration<double>(to - from).count();
}

Duration Model::quantile(double rank, Duration from, Duration to, const std::string &caller) const
{
    std::vector<Duration> latencies;
    for (const Outcome *outcome : select(from, to, caller)) {
        latencies.push_back(outcome->latency);
    }
    if (latencies.empty()) {
        return Duration::max();
    }
    std::sort(latencies.begin(), latencies.end());
    return latencies[static_cast<std::size_t>(rank * static_cast<double>(latencies.size() - 1))];
}

void Model::cutOff(const std::string &dataCentre, bool isCutOff)
{
    for (auto &[name, searcher] : m_searchers) {
        if (searcher.dataCentre == dataCentre) {
            searcher.cutOff = isCutOff;
        }
    }
}

void Model::slowDown(std::size_t searcher, double factor)
{
    m_searchers.at(searcherName(searcher)).slowness = factor;
}

double Model::capacity() const
{
    const double slots = static_cast<double>(m_settings.searchers) * m_settings.slots;
    return slots / std::chrono::duration<double>(m_settings.serviceTime).count() / static_cast<double>(m_settings.shards);
}

std::uint64_t Model::received() const
{
    return m_received;
}

double Model::farShare() const
{
    return static_cast<double>(m_far) / static_cast<double>(std::max<std::uint64_t>(m_received, 1));
}

std::uint64_t Model::shedCount() const
{
    return m_shed;
}

const std::map<std::pair<Metric, std::string>, double> &Model::counts() const
{
    return m_counts;
}

Duration Model::delay(std::size_t host, const std::string &searcher) const
{
    return m_searchers.at(searcher).dataCentre == dataCentreOf(host) ? m_settings.nearDelay : m_settings.farDelay;
}

const std::string &Model::dataCentreOf(std::size_t index) const
{
    return m_settings.dataCentres[index % m_settings.dataCentres.size()];
}
}
