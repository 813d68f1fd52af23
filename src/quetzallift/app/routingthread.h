#pragma once

#include "quetzallift/app/clientresources.h"
#include "quetzallift/app/settings.h"
#include "quetzallift/app/traffic.h"
#include "quetzallift/edge/clientprotocol.h"
#include "quetzallift/edge/eventloop.h"
#include "quetzallift/edge/httpserver.h"
#include "quetzallift/edge/upstreamclient.h"

#include <thread>
#include <unordered_map>

namespace Quetzallift
{
class Metrics;

// The thread that passes clients' requests on to searchers: its event loop, HTTP servers and connections to searchers.
class RoutingThread : public Traffic
{
public:
    RoutingThread(const Settings &settings, Metrics &metrics, ClientProtocol protocol, ControlPost postToControl);

    void start() override;
    void post(EventBody event) override;
    void finish() override;

private:
    struct Waiting {
        HttpExchangePtr exchange;
        TimePoint arrivedAt;
    };

    UpstreamClient::Hooks upstreamHooks();
    // Limits clients' requests as the configuration in force states, and counts those that exceed the limits.
    ConnectionHooks clientHooks();
    void handleRequest(const HttpExchangePtr &exchange);
    bool isReady() const;
    void carryOut(const Effect &effect);
    void forward(const ForwardRequest &effect);
    void answer(const AnswerRequest &effect);
    void log(const LogRecord &record) const;

    std::string m_host;
    Metrics &m_metrics;
    ClientProtocol m_protocol;
    ControlPost m_postToControl;
    ClientResources m_resources;
    EventLoop m_loop;
    UpstreamClient m_upstream;
    HttpServer m_clients;
    HttpServer m_directory;
    HttpServer m_readiness;
    HttpServer m_metricsPage;
    std::unordered_map<QueryId, Waiting> m_waiting;
    // What was sent under each attempt, by which its response is told from others.
    std::unordered_map<AttemptId, ClientRequestPtr> m_sent;
    std::uint64_t m_lastRequest = 0;
    std::thread m_thread;
};
}
