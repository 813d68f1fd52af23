#pragma once

#include "quetzallift/edge/upstreamconnection.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace Quetzallift
{
class EventLoop;

// Sends requests to searchers over explicit connections. An idle connection to the searcher is used before a new one is
// opened; nothing is sent twice, and how many requests are under way at a time is the caller's decision.
class UpstreamClient
{
public:
    struct Request {
        AttemptId attempt;
        std::string searcher;
        std::string address;
        // The whole request as it goes out.
        std::string bytes;
        // False if the response has no body whatever its headers say.
        bool expectsBody = true;
    };

    struct Hooks {
        // Whether a response belongs to the attempt's request. One that does not counts as a failure.
        std::function<bool(AttemptId, const UpstreamResponse &)> belongs;
        // A whole response came for an attempt.
        std::function<void(AttemptId, UpstreamResponse)> replied;
        std::function<void(AttemptId, Failure, bool sent)> failed;
        std::function<void(const std::string &searcher)> opened;
    };

    UpstreamClient(EventLoop &loop, Hooks hooks);
    ~UpstreamClient();
    UpstreamClient(const UpstreamClient &) = delete;
    UpstreamClient &operator=(const UpstreamClient &) = delete;

    // Sends a request; one of the hooks `replied` and `failed` is called for it later, unless it is cancelled.
    void send(Request request);

    // Closes the connection of an attempt that has not ended.
    void cancel(AttemptId attempt);

    // Closes the idle connections to a searcher.
    void closeIdle(const std::string &searcher);

private:
    using Connections = boost::intrusive::list<UpstreamConnection,
                                               boost::intrusive::member_hook<UpstreamConnection, UpstreamConnection::Hook, &UpstreamConnection::hook>,
                                               boost::intrusive::constant_time_size<false>>;

    UpstreamConnection *takeIdle(const std::string &searcher);
    UpstreamConnection &open(const Request &request);
    void handleReply(UpstreamConnection &connection, UpstreamResponse response);
    void handleFailure(UpstreamConnection &connection, const Failure &failure, bool sent);
    void retire(UpstreamConnection &connection);

    EventLoop &m_loop;
    Hooks m_hooks;
    std::unordered_map<std::string, Connections> m_idle;
    std::unordered_map<AttemptId, UpstreamConnection *> m_busy;
    // Closed connections, which may still be on the stack of the reactor's call.
    Connections m_retired;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};
}
