#include "stand_ins/searcher.h"

#include "stand_ins/data.h"
#include "stand_ins/network.h"
#include "stand_ins/searchercounts.h"

#include <algorithm>
#include <utility>

namespace StandIns
{
using namespace Quetzallift;
using nlohmann::json;

// One sub-request from its arrival to its reply.
struct Searcher::Work {
    enum class Stage {
        Waiting,
        Running,
        Done,
    };

    HttpExchangePtr exchange;
    json request;
    std::string source;
    TimePoint deadline;
    Stage stage = Stage::Waiting;
};

Searcher::Searcher(EventLoop &loop, const Network &network, SearcherCounts &counts, const json &settings, std::uint64_t seed)
    : m_loop(loop)
    , m_network(network)
    , m_counts(counts)
    , m_random(seed)
{
    m_settings.update(settings);
    m_faults.update(settings);
    m_serviceTime.update(settings);
    listen();
}

Searcher::~Searcher() = default;

const SearcherSettings &Searcher::settings() const
{
    return m_settings;
}

void Searcher::listen()
{
    m_coldUntil = Clock::now() + m_settings.coldFor;
    ConnectionHooks hooks;
    hooks.accept = [this] {
        const bool accepted = m_connections < m_settings.connectionLimit;
        m_counts.refusedConnections += accepted ? 0 : 1;
        return accepted;
    };
    hooks.opened = [this](const std::string &peer) {
        ++m_connections;
        ++m_counts.openedConnections;
        m_newConnections.insert(peer);
    };
    hooks.closed = [this](const std::string &peer) {
        --m_connections;
        m_newConnections.erase(peer);
    };
    const auto handler = [this](const HttpExchangePtr &exchange) {
        handle(exchange);
    };
    m_server = std::make_unique<HttpServer>(m_loop, m_settings.address, handler, std::move(hooks));
}

void Searcher::control(const json &change)
{
    const bool wasDraining = m_settings.draining;
    m_settings.update(change);
    m_faults.update(change);
    m_serviceTime.update(change);
    if (m_settings.draining != wasDraining) {
        m_loop.callAt(Clock::now() + m_settings.healthLag, [this] {
            setHealth();
        });
    }
    const bool killed = change.value("killed", m_server == nullptr);
    if (killed && m_server) {
        m_queue.clear();
        m_server.reset();
    } else if (!killed && !m_server) {
        listen();
    }
}

void Searcher::setHealth()
{
    m_health = m_settings.draining ? "draining" : "ok";
}

void Searcher::handle(const HttpExchangePtr &exchange)
{
    if (exchange->path() == "/v1/search") {
        arrive(exchange);
    } else if (exchange->path() == "/health") {
        exchange->respond(200, json{{"status", m_health}}.dump());
    } else {
        exchange->respond(404, R"({"error":"no such page"})");
    }
}

void Searcher::arrive(const HttpExchangePtr &exchange)
{
    ++m_counts.arrived;
    m_counts.arrivedWhileDraining += m_settings.draining ? 1 : 0;
    const auto work = std::make_shared<Work>();
    work->exchange = exchange;
    work->request = json::parse(exchange->body());
    work->source = m_network.dataCentreOf(exchange->peer());
    if (m_faults.silent || m_faults.cutFrom.contains(work->source)) {
        return;
    }
    Duration delay = m_network.crossing(m_settings.dataCentre, work->source, m_random);
    if (m_newConnections.erase(exchange->peer()) > 0) {
        delay += m_settings.connectionCost;
    }
    const std::chrono::duration<double, std::milli> left(work->request.value("deadline_ms", 1000.0));
    work->deadline = Clock::now() + std::chrono::duration_cast<Duration>(left);
    // A shared pointer to the work must not stand in the exchange that the work owns.
    exchange->setClosedHandler([this, weak = std::weak_ptr<Work>(work)] {
        if (const WorkPtr closed = weak.lock()) {
            cancel(closed);
        }
    });
    m_loop.callAt(Clock::now() + delay, [this, work] {
        enqueue(work);
    });
}

void Searcher::enqueue(const WorkPtr &work)
{
    if (work->stage == Work::Stage::Done) {
        return;
    }
    if (m_settings.draining) {
        sendStatus(work, "draining");
    } else if (m_busySlots >= m_settings.slots && m_queue.size() >= m_settings.queueLimit) {
        ++m_counts.shed;
        sendStatus(work, "shed");
    } else {
        m_queue.push_back(work);
        startNext();
    }
}

void Searcher::startNext()
{
    while (m_busySlots < m_settings.slots && !m_queue.empty()) {
        const WorkPtr work = m_queue.front();
        m_queue.pop_front();
        if (work->stage == Work::Stage::Done) {
            continue;
        }
        if (Clock::now() >= work->deadline) {
            ++m_counts.deadlineExceeded;
            work->stage = Work::Stage::Done;
            work->exchange->drop();
            continue;
        }
        start(work);
    }
}

void Searcher::start(const WorkPtr &work)
{
    ++m_busySlots;
    ++m_counts.ran;
    work->stage = Work::Stage::Running;
    const auto id = work->request.value("request", std::string());
    if (id.starts_with("once-")) {
        ++m_counts.onceRuns[id + "/" + std::to_string(work->request.value("shard", 0))];
    }
    const TimePoint now = Clock::now();
    const Duration drawn = m_serviceTime.draw(m_random);
    const Duration service = now < m_coldUntil ? std::chrono::duration_cast<Duration>(drawn * m_settings.coldFactor) : drawn;
    m_loop.callAt(std::min(now + service, work->deadline), [this, work] {
        finish(work);
    });
}

void Searcher::finish(const WorkPtr &work)
{
    if (work->stage == Work::Stage::Done) {
        return;
    }
    work->stage = Work::Stage::Done;
    --m_busySlots;
    if (Clock::now() >= work->deadline) {
        ++m_counts.deadlineExceeded;
        work->exchange->drop();
    } else if (chance(m_faults.resetConnection)) {
        work->exchange->drop();
    } else if (!chance(m_faults.loseReply)) {
        send(work, faultyReply(work->request).dump());
    }
    startNext();
}

void Searcher::cancel(const WorkPtr &work)
{
    if (work->stage == Work::Stage::Done) {
        return;
    }
    ++m_counts.cancelled;
    const bool wasRunning = work->stage == Work::Stage::Running;
    work->stage = Work::Stage::Done;
    if (wasRunning) {
        --m_busySlots;
        startNext();
    }
}

void Searcher::send(const WorkPtr &work, std::string body)
{
    if (chance(m_faults.cutBody)) {
        body.resize(body.size() / 2);
    }
    const Duration delay = m_network.crossing(m_settings.dataCentre, work->source, m_random);
    if (delay == Duration::zero()) {
        work->exchange->respond(200, std::move(body));
        return;
    }
    m_loop.callAt(Clock::now() + delay, [exchange = work->exchange, text = std::move(body)] {
        exchange->respond(200, text);
    });
}

void Searcher::sendStatus(const WorkPtr &work, const std::string &status)
{
    work->stage = Work::Stage::Done;
    json answer = reply(work->request);
    answer["status"] = status;
    answer["rows"] = json::array();
    send(work, answer.dump());
}

json Searcher::faultyReply(const json &request)
{
    const bool crossed = chance(m_faults.crossed) && !m_previousRequest.is_null();
    json answer = reply(crossed ? m_previousRequest : request);
    if (chance(m_faults.wrongSnapshot)) {
        json other = request;
        other["snapshot"] = request["snapshot"].get<std::uint64_t>() + 1;
        answer = reply(other);
    }
    if (chance(m_faults.truncated)) {
        answer["truncated"] = true;
        answer["rows"] = json::array();
    }
    m_previousRequest = request;
    return answer;
}

json Searcher::reply(const json &request) const
{
    const auto shard = request["shard"].get<std::uint64_t>();
    const auto snapshot = request["snapshot"].get<std::uint64_t>();
    json answer = {
        {"request", request["request"]},
        {"attempt", request["attempt"]},
        {"shard", shard},
        {"snapshot", snapshot},
        {"status", "ok"},
        {"oldest_snapshot", m_settings.oldestSnapshot},
        {"newest_snapshot", m_settings.newestSnapshot},
        {"leaving", m_settings.draining},
        {"rows", json::array()},
    };
    if (snapshot < m_settings.oldestSnapshot || snapshot > m_settings.newestSnapshot) {
        answer["status"] = "snapshot_gone";
    } else if (!m_settings.holds(shard, snapshot)) {
        answer["status"] = "shard_not_held";
    } else {
        const std::string key = request.value("key", request.value("text", ""));
        for (const Row &row : rowsForKey(m_settings.backEnd, {shard}, {snapshot}, key)) {
            answer["rows"].push_back({{"key", row.key}, {"text", row.text}});
        }
    }
    return answer;
}

bool Searcher::chance(double share)
{
    return share > 0.0 && std::bernoulli_distribution(share)(m_random);
}
}
