#pragma once

#include "quetzallift/edge/httpclient.h"
#include "quetzallift/query/effects.h"

#include <unordered_map>

namespace Quetzallift
{
class EventLoop;

// Executes SendSubRequest, CancelSubRequest and ProbeSearcher, and dispatches the results as events of the loop.
class SearcherClient
{
public:
    // Connections are made from the given IP address, by which searchers and firewalls identify the host.
    SearcherClient(EventLoop &loop, const std::string &localAddress);

    void send(const SendSubRequest &effect);
    void cancel(const CancelSubRequest &effect);
    void probe(const ProbeSearcher &effect);

private:
    void complete(AttemptId attempt, const std::string &searcher, const HttpResult &result);

    EventLoop &m_loop;
    HttpClient m_http;
    std::unordered_map<AttemptId, TransferId> m_transfers;
};
}
