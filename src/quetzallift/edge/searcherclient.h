#pragma once

#include "quetzallift/edge/httpclient.h"
#include "quetzallift/query/effects.h"

#include <unordered_map>

namespace Quetzallift
{
class EventLoop;

// Carries out SendSubRequest and CancelSubRequest, and turns what comes back into events of the loop.
class SearcherClient
{
public:
    // Connections go out from the given IP number, by which searchers and firewalls know the host.
    SearcherClient(EventLoop &loop, const std::string &localAddress);

    void send(const SendSubRequest &effect);
    void cancel(const CancelSubRequest &effect);

private:
    void complete(AttemptId attempt, const std::string &searcher, const HttpResult &result);

    EventLoop &m_loop;
    HttpClient m_http;
    std::unordered_map<AttemptId, TransferId> m_transfers;
};
}
