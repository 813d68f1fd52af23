#pragma once

#include "quetzallift/edge/eventloop.h"
#include "quetzallift/edge/httpserver.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <set>
#include <string>

namespace StandIns
{
// The platform's object API and host list in memory, with faults that are set over HTTP.
class Platform
{
public:
    Platform(Quetzallift::EventLoop &loop, const std::string &address);

private:
    struct Object {
        std::uint64_t version = 0;
        std::string value;
    };

    // A watch that waits for a version other than the one it names.
    struct Watch {
        std::string object;
        std::uint64_t version = 0;
        Quetzallift::HttpExchangePtr exchange;
    };

    void handle(const Quetzallift::HttpExchangePtr &exchange);
    void handleObject(const Quetzallift::HttpExchangePtr &exchange, const std::string &name);
    void read(const Quetzallift::HttpExchangePtr &exchange, const std::string &name);
    void watch(const Quetzallift::HttpExchangePtr &exchange, const std::string &name);
    void write(const Quetzallift::HttpExchangePtr &exchange, const std::string &name);
    bool conditionHolds(const Quetzallift::HttpExchangePtr &exchange, const std::string &name) const;
    void list(const Quetzallift::HttpExchangePtr &exchange);
    void wakeWatches(const std::string &name);
    void control(const Quetzallift::HttpExchangePtr &exchange);

    Quetzallift::EventLoop &m_loop;
    std::map<std::string, Object> m_objects;
    std::uint64_t m_lastVersion = 0;
    std::list<Watch> m_watches;
    std::string m_hosts = R"({"hosts":[]})";
    // Calls since the start, by kind: read, write, watch, list, hosts.
    std::map<std::string, std::uint64_t> m_calls;
    bool m_down = false;
    // Prefixes of IP numbers whose calls get no answer.
    std::set<std::string> m_cutFrom;
    Quetzallift::Duration m_delay = Quetzallift::Duration::zero();
    // Writes left whose answers are lost after they take effect.
    unsigned m_lostWriteAnswers = 0;
    Quetzallift::HttpServer m_server;
};
}
