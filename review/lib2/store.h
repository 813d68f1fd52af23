#pragma once

#include "http.h"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <cstdint>
#include <list>
#include <map>
#include <mutex>
#include <set>
#include <string>

namespace Review
{
// The platform's metadata store: objects by kind and name, one revision counter, watches with history.
class Store
{
public:
    explicit Store(const std::string &address);

    // Writes as the operator or a searcher does; a write that changes nothing does not raise the revision.
    void put(const std::string &kind, const std::string &name, const nlohmann::json &spec);
    void remove(const std::string &kind, const std::string &name);
    std::uint64_t revision();

    // Keeps a copy of the present state.
    void copy();
    // Breaks off all connections, and refuses new ones until the copy is restored.
    void goAway();
    // Comes back from the copy: the revision goes back, and the era rises by one.
    void restoreCopy();

private:
    struct Object {
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        nlohmann::json spec;
        nlohmann::json status;
        nlohmann::json finalizers = nlohmann::json::array();
    };
    struct Change {
        std::uint64_t revision = 0;
        std::string kind;
        nlohmann::json event;
    };
    struct State {
        std::map<std::string, std::map<std::string, Object>> kinds;
        std::list<Change> history;
        std::uint64_t revision = 100;
    };
    struct Reply {
        int status = 200;
        nlohmann::json body = nlohmann::json::object();
    };

    void serve(int socket);
    void acceptAll(int listening);
    Reply perform(const Message &request);
    Reply list(const Message &request, const std::string &kind);
    Reply watch(const Message &request, const std::string &kind, std::unique_lock<std::mutex> &lock);
    Reply write(const Message &request, const std::string &kind, std::string name);
    void change(const std::string &kind, const std::string &name, const Object &object, bool deleted);
    static nlohmann::json encode(const std::string &name, const Object &object);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    State m_state;
    State m_copy;
    std::uint64_t m_era = 1;
    bool m_away = false;
    std::set<int> m_sockets;
};
}
