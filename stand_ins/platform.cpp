#include "stand_ins/platform.h"

#include <algorithm>
#include <charconv>

namespace StandIns
{
using namespace Quetzallift;
using nlohmann::json;

namespace
{
std::uint64_t number(const std::string &text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

// The kind under which a call is metered.
std::string kindOf(const HttpExchange &exchange)
{
    if (exchange.path() == "/v1/hosts") {
        return "hosts";
    }
    if (exchange.path() == "/v1/objects") {
        return "list";
    }
    if (exchange.method() == "PUT") {
        return "write";
    }
    return exchange.argument("watch").empty() ? "read" : "watch";
}

void fail(const HttpExchangePtr &exchange, unsigned status, const std::string &message)
{
    exchange->respond(status, json{{"error", message}}.dump());
}
}

Platform::Platform(EventLoop &loop, const std::string &address)
    : m_loop(loop)
    , m_server(loop, address, [this](const HttpExchangePtr &exchange) {
        handle(exchange);
    })
{ }

void Platform::handle(const HttpExchangePtr &exchange)
{
    if (exchange->path() == "/control") {
        control(exchange);
        return;
    }
    ++m_calls[kindOf(*exchange)];
    if (m_down) {
        fail(exchange, 503, "outage");
        return;
    }
    const bool cut = std::any_of(m_cutFrom.begin(), m_cutFrom.end(), [&](const std::string &prefix) {
        return exchange->peer().starts_with(prefix);
    });
    if (cut) {
        return;
    }
    m_loop.callAt(Clock::now() + m_delay, [this, exchange] {
        const std::string prefix = "/v1/objects/";
        if (exchange->path().starts_with(prefix)) {
            handleObject(exchange, exchange->path().substr(prefix.size()));
        } else if (exchange->path() == "/v1/objects") {
            list(exchange);
        } else if (exchange->path() == "/v1/hosts") {
            exchange->respond(200, m_hosts);
        } else {
            fail(exchange, 404, "no such page");
        }
    });
}

void Platform::handleObject(const HttpExchangePtr &exchange, const std::string &name)
{
    if (exchange->method() == "PUT") {
        write(exchange, name);
    } else if (!exchange->argument("watch").empty()) {
        watch(exchange, name);
    } else {
        read(exchange, name);
    }
}

void Platform::read(const HttpExchangePtr &exchange, const std::string &name)
{
    const auto found = m_objects.find(name);
    if (found == m_objects.end()) {
        fail(exchange, 404, "no such object");
        return;
    }
    exchange->addHeader("ETag", '"' + std::to_string(found->second.version) + '"');
    exchange->respond(200, found->second.value);
}

void Platform::watch(const HttpExchangePtr &exchange, const std::string &name)
{
    const std::uint64_t version = number(exchange->argument("watch"));
    const auto found = m_objects.find(name);
    const std::uint64_t present = found == m_objects.end() ? 0 : found->second.version;
    if (present != version) {
        read(exchange, name);
        return;
    }
    m_watches.push_back({name, version, exchange});
    const auto wait = std::chrono::milliseconds(number(exchange->argument("wait_ms")));
    m_loop.callAt(Clock::now() + wait, [this, exchange, name] {
        read(exchange, name);
        m_watches.remove_if([&](const Watch &watch) {
            return watch.exchange == exchange;
        });
    });
}

bool Platform::conditionHolds(const HttpExchangePtr &exchange, const std::string &name) const
{
    const auto found = m_objects.find(name);
    if (exchange->header("If-None-Match") == "*") {
        return found == m_objects.end();
    }
    const std::string expected = exchange->header("If-Match");
    if (expected.empty()) {
        return true;
    }
    return found != m_objects.end() && expected == '"' + std::to_string(found->second.version) + '"';
}

void Platform::write(const HttpExchangePtr &exchange, const std::string &name)
{
    if (!conditionHolds(exchange, name)) {
        fail(exchange, 412, "the condition does not hold");
        return;
    }
    Object &object = m_objects[name];
    object.version = ++m_lastVersion;
    object.value = exchange->body();
    wakeWatches(name);
    if (m_lostWriteAnswers > 0) {
        --m_lostWriteAnswers;
        return;
    }
    exchange->addHeader("ETag", '"' + std::to_string(object.version) + '"');
    exchange->respond(200, "{}");
}

void Platform::wakeWatches(const std::string &name)
{
    std::list<Watch> woken;
    for (auto watch = m_watches.begin(); watch != m_watches.end();) {
        const auto next = std::next(watch);
        if (watch->object == name) {
            woken.splice(woken.end(), m_watches, watch);
        }
        watch = next;
    }
    for (const Watch &watch : woken) {
        read(watch.exchange, name);
    }
}

void Platform::list(const HttpExchangePtr &exchange)
{
    const std::string prefix = exchange->argument("prefix");
    json document = {{"objects", json::array()}};
    for (const auto &[name, object] : m_objects) {
        if (name.starts_with(prefix)) {
            document["objects"].push_back({{"name", name}, {"version", object.version}, {"value", json::parse(object.value)}});
        }
    }
    exchange->respond(200, document.dump());
}

void Platform::control(const HttpExchangePtr &exchange)
{
    if (exchange->method() == "POST") {
        const json request = json::parse(exchange->body());
        m_down = request.value("down", m_down);
        if (request.contains("delay_ms")) {
            m_delay = std::chrono::milliseconds(request["delay_ms"].get<int>());
        }
        m_cutFrom = request.value("cut_from", m_cutFrom);
        m_lostWriteAnswers = request.value("lost_write_answers", m_lostWriteAnswers);
        if (request.contains("hosts")) {
            m_hosts = json{{"hosts", request["hosts"]}}.dump();
        }
    }
    exchange->respond(200, json{{"calls", m_calls}, {"watches", m_watches.size()}}.dump());
}
}
