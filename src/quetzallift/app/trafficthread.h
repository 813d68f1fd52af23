#pragma once

#include "quetzallift/app/clientresources.h"
#include "quetzallift/app/settings.h"
#include "quetzallift/app/traffic.h"
#include "quetzallift/edge/eventloop.h"
#include "quetzallift/edge/httpserver.h"
#include "quetzallift/edge/searcherclient.h"

#include <functional>
#include <thread>
#include <unordered_map>

namespace Quetzallift
{
class Metrics;

// One thread that serves callers: its event loop, HTTP server and searcher client.
class TrafficThread : public Traffic
{
public:
    TrafficThread(unsigned number, const Settings &settings, Metrics &metrics, ControlPost postToControl);
    ~TrafficThread() override;

    void start() override;
    void post(EventBody event) override;
    void finish() override;

private:
    // Counts requests that exceed the limits.
    ConnectionHooks clientHooks();

    // A caller that waits for its answer.
    struct Waiting {
        HttpExchangePtr exchange;
        TimePoint arrivedAt;
    };

    void handleRequest(const HttpExchangePtr &exchange);
    void handleQuery(const HttpExchangePtr &exchange);
    void handleAddresses(const HttpExchangePtr &exchange) const;
    void handleReady(const HttpExchangePtr &exchange) const;
    void carryOut(const Effect &effect);
    void answer(const SendAnswer &effect);
    void answerRecorded(const SendRecordedAnswer &effect);
    void respond(QueryId query, unsigned status, std::string body);

    unsigned m_number;
    std::string m_host;
    std::string m_dataCentre;
    Metrics &m_metrics;
    ControlPost m_postToControl;
    ClientResources m_resources;
    EventLoop m_loop;
    SearcherClient m_searchers;
    HttpServer m_server;
    std::unordered_map<QueryId, Waiting> m_waiting;
    std::uint64_t m_lastQuery = 0;
    std::thread m_thread;
};
}
