#include "stand_ins/searcher.h"

#include "stand_ins/data.h"

#include <utility>

namespace StandIns
{
using namespace Quetzallift;
using nlohmann::json;

Searcher::Searcher(EventLoop &loop, SearcherSettings settings)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_server(loop, m_settings.address, [this](const HttpExchangePtr &exchange) {
        handle(exchange);
    })
{ }

void Searcher::handle(const HttpExchangePtr &exchange)
{
    if (exchange->path() == "/v1/search") {
        search(exchange);
    } else if (exchange->path() == "/control") {
        control(exchange);
    } else if (exchange->path() == "/health") {
        exchange->respond(200, json{{"status", m_draining ? "draining" : "ok"}}.dump());
    } else {
        exchange->respond(404, R"({"error":"no such page"})");
    }
}

void Searcher::control(const HttpExchangePtr &exchange)
{
    const json request = json::parse(exchange->body());
    m_extraDelay = std::chrono::milliseconds(request.value("extra_delay_ms", 0));
    m_silent = request.value("silent", false);
    m_draining = request.value("draining", false);
    m_settings.oldestSnapshot = request.value("oldest_snapshot", m_settings.oldestSnapshot);
    m_settings.newestSnapshot = request.value("newest_snapshot", m_settings.newestSnapshot);
    exchange->respond(200, "{}");
}

void Searcher::search(const HttpExchangePtr &exchange)
{
    m_queue.push_back(exchange);
    startNext();
}

void Searcher::startNext()
{
    while (m_busySlots < m_settings.slots && !m_queue.empty()) {
        const HttpExchangePtr exchange = m_queue.front();
        m_queue.pop_front();
        ++m_busySlots;
        m_loop.callAt(Clock::now() + m_settings.serviceTime + m_extraDelay, [this, exchange] {
            finish(exchange);
        });
    }
}

void Searcher::finish(const HttpExchangePtr &exchange)
{
    --m_busySlots;
    if (!m_silent) {
        exchange->respond(200, reply(json::parse(exchange->body())).dump());
    }
    startNext();
}

json Searcher::reply(const json &request) const
{
    json reply = {
        {"request", request["request"]},
        {"attempt", request["attempt"]},
        {"shard", request["shard"]},
        {"snapshot", request["snapshot"]},
        {"status", "ok"},
        {"oldest_snapshot", m_settings.oldestSnapshot},
        {"newest_snapshot", m_settings.newestSnapshot},
        {"leaving", m_draining},
        {"rows", json::array()},
    };
    const auto shard = request["shard"].get<std::uint64_t>();
    const auto snapshot = request["snapshot"].get<std::uint64_t>();
    if (m_draining) {
        reply["status"] = "draining";
    } else if (!m_settings.shards.empty() && !m_settings.shards.contains(shard)) {
        reply["status"] = "shard_not_held";
    } else if (snapshot < m_settings.oldestSnapshot || snapshot > m_settings.newestSnapshot) {
        reply["status"] = "snapshot_gone";
    } else {
        const std::string key = request.value("key", request.value("text", ""));
        for (const Row &row : rowsForKey(m_settings.backEnd, {shard}, {snapshot}, key)) {
            reply["rows"].push_back({{"key", row.key}, {"text", row.text}});
        }
    }
    return reply;
}
}
