#pragma once

#include "quetzallift/edge/eventloop.h"
#include "quetzallift/edge/httpserver.h"
#include "stand_ins/searcherfaults.h"
#include "stand_ins/searchersettings.h"
#include "stand_ins/servicetime.h"

#include <nlohmann/json.hpp>

#include <deque>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace StandIns
{
class Network;
struct SearcherCounts;

// A searcher that answers sub-requests from generated data, with limited slots, queue and connections, and faults that
// are set at run time.
class Searcher
{
public:
    Searcher(Quetzallift::EventLoop &loop, const Network &network, SearcherCounts &counts, const nlohmann::json &settings, std::uint64_t seed);
    ~Searcher();

    const SearcherSettings &settings() const;

    // Changes settings, service time and faults; "killed" closes all sockets, or opens the address again.
    void control(const nlohmann::json &change);

private:
    struct Work;
    using WorkPtr = std::shared_ptr<Work>;

    void listen();
    void handle(const Quetzallift::HttpExchangePtr &exchange);
    void arrive(const Quetzallift::HttpExchangePtr &exchange);
    void enqueue(const WorkPtr &work);
    void startNext();
    void start(const WorkPtr &work);
    void finish(const WorkPtr &work);
    void cancel(const WorkPtr &work);
    void send(const WorkPtr &work, std::string body);
    void sendStatus(const WorkPtr &work, const std::string &status);
    nlohmann::json reply(const nlohmann::json &request) const;
    nlohmann::json faultyReply(const nlohmann::json &request);
    bool chance(double share);
    void setHealth();

    Quetzallift::EventLoop &m_loop;
    const Network &m_network;
    SearcherCounts &m_counts;
    SearcherSettings m_settings;
    SearcherFaults m_faults;
    ServiceTime m_serviceTime;
    std::mt19937_64 m_random;
    Quetzallift::TimePoint m_coldUntil;
    std::string m_health = "ok";
    unsigned m_connections = 0;
    // Connections that carried no request yet, by the peer's address.
    std::set<std::string> m_newConnections;
    unsigned m_busySlots = 0;
    std::deque<WorkPtr> m_queue;
    // The request before, whose identity a crossed reply carries.
    nlohmann::json m_previousRequest;
    std::unique_ptr<Quetzallift::HttpServer> m_server;
};
}
