#include "store.h"

#include "record.h"

#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <thread>

namespace Review
{
using nlohmann::json;

namespace
{
const std::string Prefix = "/quetzallift/objects/";
constexpr std::uint64_t FirstRevision = 100;
}

Store::Store(const std::string &address)
{
    const int listening = listenOn(address);
    std::thread([this, listening] {
        acceptAll(listening);
    }).detach();
}

void Store::acceptAll(int listening)
{
    while (true) {
        const int socket = accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
        const std::lock_guard lock(m_mutex);
        if (socket >= 0 && m_away) {
            close(socket);
        } else if (socket >= 0) {
            m_sockets.insert(socket);
            std::thread([this, socket] {
                serve(socket);
            }).detach();
        }
    }
}

void Store::serve(int socket)
{
    MessageReader reader(socket);
    while (const auto request = reader.read()) {
        const Reply reply = perform(*request);
        std::uint64_t era = 0;
        {
            const std::lock_guard lock(m_mutex);
            if (m_away) {
                break;
            }
            era = m_era;
        }
        const std::map<std::string, std::string> headers = {{"Content-Type", "application/json"}, {"Store-Era", std::to_string(era)}};
        if (!sendAll(socket, response(reply.status, headers, reply.body.dump()))) {
            break;
        }
    }
    const std::lock_guard lock(m_mutex);
    m_sockets.erase(socket);
    close(socket);
}

json Store::encode(const std::string &name, const Object &object)
{
    return {{"meta", {{"name", name}, {"revision", object.revision}, {"created", object.created}, {"finalizers", object.finalizers}, {"deleting", false}}},
            {"spec", object.spec},
            {"status", object.status}};
}

// Called with the mutex held.
void Store::change(const std::string &kind, const std::string &name, const Object &object, bool deleted)
{
    m_state.history.push_back({m_state.revision, kind, {{"object", encode(name, object)}, {"deleted", deleted}}});
    m_changed.notify_all();
}

void Store::put(const std::string &kind, const std::string &name, const json &spec)
{
    const std::lock_guard lock(m_mutex);
    Object &object = m_state.kinds[kind][name];
    if (object.revision != 0 && object.spec == spec) {
        return;
    }
    object.spec = spec;
    object.revision = ++m_state.revision;
    object.created = object.created == 0 ? object.revision : object.created;
    change(kind, name, object, false);
    note("store: " + kind + "/" + name + " written at revision " + std::to_string(m_state.revision));
}

void Store::remove(const std::string &kind, const std::string &name)
{
    const std::lock_guard lock(m_mutex);
    auto &objects = m_state.kinds[kind];
    const auto found = objects.find(name);
    if (found == objects.end()) {
        return;
    }
    found->second.revision = ++m_state.revision;
    change(kind, name, found->second, true);
    objects.erase(found);
    note("store: " + kind + "/" + name + " removed at revision " + std::to_string(m_state.revision));
}

std::uint64_t Store::revision()
{
    const std::lock_guard lock(m_mutex);
    return m_state.revision;
}

void Store::copy()
{
    const std::lock_guard lock(m_mutex);
    m_copy = m_state;
    note("store: a copy is taken at revision " + std::to_string(m_state.revision));
}

void Store::goAway()
{
    const std::lock_guard lock(m_mutex);
    m_away = true;
    for (const int socket : m_sockets) {
        shutdown(socket, SHUT_RDWR);
    }
    m_changed.notify_all();
    note("store: away, at revision " + std::to_string(m_state.revision));
}

void Store::restoreCopy()
{
    const std::lock_guard lock(m_mutex);
    m_state = m_copy;
    ++m_era;
    m_away = false;
    note("store: back from the copy, era " + std::to_string(m_era) + ", at revision " + std::to_string(m_state.revision));
}

Store::Reply Store::perform(const Message &request)
{
    std::unique_lock lock(m_mutex);
    if (!request.path().starts_with(Prefix)) {
        return {404, {}};
    }
    const std::string path = request.path().substr(Prefix.size());
    const std::size_t slash = path.find('/');
    const std::string kind = path.substr(0, slash);
    const std::string name = slash == std::string::npos ? std::string() : path.substr(slash + 1);
    const std::string method = request.word(0);
    if (method == "DELETE") {
        auto &objects = m_state.kinds[kind];
        const auto found = objects.find(name);
        if (found == objects.end()) {
            return {404, json::object()};
        }
        found->second.revision = ++m_state.revision;
        change(kind, name, found->second, true);
        objects.erase(found);
        return {};
    }
    if (method != "GET") {
        return write(request, kind, name);
    }
    if (!request.argument("watch").empty()) {
        return watch(request, kind, lock);
    }
    if (name.empty()) {
        return list(request, kind);
    }
    const auto found = m_state.kinds[kind].find(name);
    return found == m_state.kinds[kind].end() ? Reply{404, json::object()} : Reply{200, encode(name, found->second)};
}

Store::Reply Store::list(const Message &request, const std::string &kind)
{
    constexpr std::size_t PageSize = 500;
    json items = json::array();
    const auto &objects = m_state.kinds[kind];
    auto next = objects.upper_bound(request.argument("after"));
    for (; next != objects.end() && items.size() < PageSize; ++next) {
        items.push_back(encode(next->first, next->second));
    }
    return {200, {{"items", items}, {"has-more", next != objects.end()}, {"as-of", m_state.revision}}};
}

Store::Reply Store::watch(const Message &request, const std::string &kind, std::unique_lock<std::mutex> &lock)
{
    const std::uint64_t since = std::stoull(request.argument("watch"));
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(std::stol("0" + request.argument("wait-ms")));
    while (!m_away) {
        if (since > m_state.revision || since < FirstRevision) {
            return {410, json::object()};
        }
        json events = json::array();
        for (const Change &item : m_state.history) {
            if (item.kind == kind && item.revision > since) {
                events.push_back(item.event);
            }
        }
        if (!events.empty() || m_changed.wait_until(lock, until) == std::cv_status::timeout) {
            return {200, {{"events", events}, {"as-of", m_state.revision}}};
        }
    }
    return {503, json::object()};
}

Store::Reply Store::write(const Message &request, const std::string &kind, std::string name)
{
    const json body = json::parse(request.body);
    const json meta = body.value("meta", json::object());
    const bool create = request.word(0) == "POST";
    name = create ? meta.value("name", std::string()) : name;
    auto &objects = m_state.kinds[kind];
    const auto found = objects.find(name);
    const bool exists = found != objects.end();
    if (!create && !exists) {
        return {404, json::object()};
    }
    const bool outdated = exists && meta.contains("revision") && meta["revision"] != found->second.revision;
    if (exists && (create || outdated)) {
        return {409, encode(name, found->second)};
    }
    Object &object = objects[name];
    const json spec = body.value("spec", json());
    if (object.revision == 0 || object.spec != spec) {
        object.spec = spec;
        object.revision = ++m_state.revision;
        object.created = object.created == 0 ? object.revision : object.created;
        change(kind, name, object, false);
    }
    return {create ? 201 : 200, encode(name, object)};
}
}
