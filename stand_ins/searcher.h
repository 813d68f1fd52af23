#pragma once

#include "quetzallift/edge/eventloop.h"
#include "quetzallift/edge/httpserver.h"

#include <nlohmann/json.hpp>

#include <deque>
#include <functional>
#include <set>
#include <string>

namespace StandIns
{
// How one searcher is set up.
struct SearcherSettings {
    std::string address;
    std::string backEnd;
    // Shards of which it holds a replica; empty means any.
    std::set<std::uint64_t> shards;
    unsigned slots = 2;
    Quetzallift::Duration serviceTime = std::chrono::milliseconds(2);
    std::uint64_t oldestSnapshot = 1;
    std::uint64_t newestSnapshot = 1;
};

// A searcher that answers sub-requests from generated data, with limited slots and faults that are set over HTTP.
class Searcher
{
public:
    Searcher(Quetzallift::EventLoop &loop, SearcherSettings settings);

private:
    void handle(const Quetzallift::HttpExchangePtr &exchange);
    void search(const Quetzallift::HttpExchangePtr &exchange);
    void control(const Quetzallift::HttpExchangePtr &exchange);
    void startNext();
    void finish(const Quetzallift::HttpExchangePtr &exchange);
    nlohmann::json reply(const nlohmann::json &request) const;

    Quetzallift::EventLoop &m_loop;
    SearcherSettings m_settings;
    Quetzallift::Duration m_extraDelay = Quetzallift::Duration::zero();
    bool m_silent = false;
    bool m_draining = false;
    unsigned m_busySlots = 0;
    std::deque<Quetzallift::HttpExchangePtr> m_queue;
    Quetzallift::HttpServer m_server;
};
}
