#pragma once

#include "quetzallift/edge/eventloop.h"
#include "quetzallift/edge/httpserver.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <random>
#include <string>

namespace Soak
{
// How the store treats the calls that reach it.
enum class StoreCondition {
    Well,
    Silent,
    Busy,
    Reset,
};

// The platform's metadata store by its published protocol: objects by kind and name, lists in pages, watches with a
// history, conditional writes, and the troubles that the pages name.
class MetadataStore
{
public:
    MetadataStore(Quetzallift::EventLoop &loop, const std::string &address, std::uint64_t seed);

    // Writes the `spec` of an object as the operator or a searcher would, without a call.
    void put(const std::string &kind, const std::string &name, const nlohmann::json &spec);
    void remove(const std::string &kind, const std::string &name);
    bool holds(const std::string &kind, const std::string &name) const;

    void setCondition(StoreCondition condition);
    // How much later answers leave, and the share of writes that are done and not answered.
    void setDelay(Quetzallift::Duration delay);
    void setLostShare(double share);

    // Drops the history and cuts the waiting watches.
    void forgetHistory();

private:
    struct Object {
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        nlohmann::json spec;
        nlohmann::json status;
    };
    struct Change {
        std::uint64_t revision = 0;
        std::string kind;
        nlohmann::json event;
    };
    struct Watch {
        std::string kind;
        std::uint64_t since = 0;
        Quetzallift::HttpExchangePtr exchange;
    };
    using Objects = std::map<std::string, Object>;

    void handle(const Quetzallift::HttpExchangePtr &exchange);
    void perform(const Quetzallift::HttpExchangePtr &exchange);
    void list(const Quetzallift::HttpExchangePtr &exchange, const std::string &kind);
    void watch(const Quetzallift::HttpExchangePtr &exchange, const std::string &kind);
    bool answerWatch(const Watch &watch);
    void write(const Quetzallift::HttpExchangePtr &exchange, const std::string &kind, std::string name);
    void erase(const Quetzallift::HttpExchangePtr &exchange, const std::string &kind, const std::string &name);
    void noteChange(const std::string &kind, const std::string &name, const Object &object, bool deleted);
    void answer(const Quetzallift::HttpExchangePtr &exchange, unsigned status, const nlohmann::json &body, bool isWrite = false);

    Quetzallift::EventLoop &m_loop;
    std::mt19937_64 m_random;
    std::map<std::string, Objects> m_kinds;
    std::uint64_t m_revision = 1;
    std::deque<Change> m_history;
    // Changes up to this revision are no longer in the history.
    std::uint64_t m_forgotten = 1;
    std::list<Watch> m_watches;
    StoreCondition m_condition = StoreCondition::Well;
    Quetzallift::Duration m_delay = Quetzallift::Duration::zero();
    double m_lostShare = 0.0;
    Quetzallift::HttpServer m_server;
};
}
