#include "tests/platform/soak/metadatastore.h"

#include <charconv>

namespace Soak
{
using namespace Quetzallift;
using nlohmann::json;

namespace
{
constexpr unsigned Ok = 200;
constexpr unsigned Created = 201;
constexpr unsigned NotFound = 404;
constexpr unsigned Conflict = 409;
constexpr unsigned Gone = 410;
constexpr unsigned Unavailable = 503;
const std::string Prefix = "/quetzallift/objects/";
// Small, so that lists of searchers have several pages.
constexpr std::size_t PageSize = 10;
constexpr std::size_t HistorySize = 400;

std::uint64_t number(const std::string &text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

template<typename Object>
json encode(const std::string &name, const Object &object)
{
    return {{"meta", {{"name", name}, {"revision", object.revision}, {"created", object.created}, {"finalizers", json::array()}, {"deleting", false}}},
            {"spec", object.spec},
            {"status", object.status}};
}
}

MetadataStore::MetadataStore(EventLoop &loop, const std::string &address, std::uint64_t seed)
    : m_loop(loop)
    , m_random(seed)
    , m_server(loop, address, [this](const HttpExchangePtr &exchange) {
        handle(exchange);
    })
{ }

void MetadataStore::put(const std::string &kind, const std::string &name, const json &spec)
{
    Object &object = m_kinds[kind][name];
    if (object.revision != 0 && object.spec == spec) {
        return;
    }
    object.spec = spec;
    noteChange(kind, name, object, false);
}

void MetadataStore::remove(const std::string &kind, const std::string &name)
{
    const auto found = m_kinds[kind].find(name);
    if (found != m_kinds[kind].end()) {
        noteChange(kind, name, found->second, true);
        m_kinds[kind].erase(name);
    }
}

bool MetadataStore::holds(const std::string &kind, const std::string &name) const
{
    const auto found = m_kinds.find(kind);
    return found != m_kinds.end() && found->second.contains(name);
}

void MetadataStore::setCondition(StoreCondition condition)
{
    m_condition = condition;
    if (condition != StoreCondition::Well) {
        // Watches that wait are cut with everything else.
        std::list<Watch> cut;
        cut.swap(m_watches);
        for (const Watch &watch : cut) {
            watch.exchange->drop();
        }
    }
}

void MetadataStore::setDelay(Duration delay)
{
    m_delay = delay;
}

void MetadataStore::setLostShare(double share)
{
    m_lostShare = share;
}

void MetadataStore::forgetHistory()
{
    m_history.clear();
    m_forgotten = m_revision;
    std::list<Watch> cut;
    cut.swap(m_watches);
    for (const Watch &watch : cut) {
        watch.exchange->drop();
    }
}

void MetadataStore::noteChange(const std::string &kind, const std::string &name, const Object &object, bool deleted)
{
    Object &changed = m_kinds[kind][name];
    changed.revision = ++m_revision;
    changed.created = object.created == 0 ? m_revision : object.created;
    m_history.push_back({m_revision, kind, {{"object", encode(name, changed)}, {"deleted", deleted}}});
    if (m_history.size() > HistorySize) {
        m_forgotten = m_history.front().revision;
        m_history.pop_front();
    }
    m_watches.remove_if([this, &kind](const Watch &watch) {
        return watch.kind == kind && answerWatch(watch);
    });
}

void MetadataStore::handle(const HttpExchangePtr &exchange)
{
    switch (m_condition) {
    case StoreCondition::Silent:
        return;
    case StoreCondition::Busy:
        exchange->respond(Unavailable, "{}");
        return;
    case StoreCondition::Reset:
        exchange->drop();
        return;
    case StoreCondition::Well:
        break;
    }
    m_loop.callAt(Clock::now() + m_delay, [this, exchange] {
        perform(exchange);
    });
}

void MetadataStore::perform(const HttpExchangePtr &exchange)
{
    if (!exchange->path().starts_with(Prefix)) {
        answer(exchange, NotFound, json::object());
        return;
    }
    const std::string path = exchange->path().substr(Prefix.size());
    const std::size_t slash = path.find('/');
    const std::string kind = path.substr(0, slash);
    const std::string name = slash == std::string::npos ? std::string() : path.substr(slash + 1);
    if (exchange->method() == "DELETE") {
        erase(exchange, kind, name);
    } else if (exchange->method() != "GET") {
        write(exchange, kind, name);
    } else if (!exchange->argument("watch").empty()) {
        watch(exchange, kind);
    } else if (name.empty()) {
        list(exchange, kind);
    } else {
        const auto found = m_kinds[kind].find(name);
        const bool exists = found != m_kinds[kind].end();
        answer(exchange, exists ? Ok : NotFound, exists ? encode(name, found->second) : json::object());
    }
}

void MetadataStore::list(const HttpExchangePtr &exchange, const std::string &kind)
{
    const Objects &objects = m_kinds[kind];
    json items = json::array();
    auto next = objects.upper_bound(exchange->argument("after"));
    for (; next != objects.end() && items.size() < PageSize; ++next) {
        items.push_back(encode(next->first, next->second));
    }
    answer(exchange, Ok, {{"items", items}, {"has-more", next != objects.end()}, {"as-of", m_revision}});
}

void MetadataStore::watch(const HttpExchangePtr &exchange, const std::string &kind)
{
    const Watch watch{kind, number(exchange->argument("watch")), exchange};
    if (answerWatch(watch)) {
        return;
    }
    m_watches.push_back(watch);
    const auto wait = std::chrono::milliseconds(number(exchange->argument("wait-ms")));
    m_loop.callAt(Clock::now() + wait, [this, exchange] {
        m_watches.remove_if([&exchange](const Watch &waiting) {
            return waiting.exchange == exchange;
        });
        answer(exchange, Ok, {{"events", json::array()}, {"as-of", m_revision}});
    });
}

bool MetadataStore::answerWatch(const Watch &watch)
{
    if (watch.since < m_forgotten) {
        answer(watch.exchange, Gone, json::object());
        return true;
    }
    json events = json::array();
    for (const Change &change : m_history) {
        if (change.kind == watch.kind && change.revision > watch.since) {
            events.push_back(change.event);
        }
    }
    if (events.empty()) {
        return false;
    }
    answer(watch.exchange, Ok, {{"events", events}, {"as-of", m_revision}});
    return true;
}

void MetadataStore::write(const HttpExchangePtr &exchange, const std::string &kind, std::string name)
{
    const json body = json::parse(exchange->body());
    const json meta = body.value("meta", json::object());
    const bool create = exchange->method() == "POST";
    name = create ? meta.value("name", std::string()) : name;
    Objects &objects = m_kinds[kind];
    const auto found = objects.find(name);
    const bool exists = found != objects.end();
    if (!create && !exists) {
        answer(exchange, NotFound, json::object());
        return;
    }
    const bool outdated = exists && meta.contains("revision") && meta["revision"] != found->second.revision;
    if (exists && (create || outdated)) {
        answer(exchange, Conflict, encode(name, found->second));
        return;
    }
    put(kind, name, body.value("spec", json()));
    answer(exchange, create ? Created : Ok, encode(name, objects.at(name)), true);
}

void MetadataStore::erase(const HttpExchangePtr &exchange, const std::string &kind, const std::string &name)
{
    const auto found = m_kinds[kind].find(name);
    const std::string revision = exchange->argument("revision");
    if (found == m_kinds[kind].end()) {
        answer(exchange, NotFound, json::object());
    } else if (!revision.empty() && number(revision) != found->second.revision) {
        answer(exchange, Conflict, encode(name, found->second));
    } else {
        remove(kind, name);
        answer(exchange, Ok, json::object(), true);
    }
}

void MetadataStore::answer(const HttpExchangePtr &exchange, unsigned status, const json &body, bool isWrite)
{
    if (isWrite && std::bernoulli_distribution(m_lostShare)(m_random)) {
        exchange->drop();
        return;
    }
    exchange->respond(status, body.dump());
}
}
