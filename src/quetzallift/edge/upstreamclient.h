#pragma once

#include "quetzallift/edge/upstreamconnection.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace Quetzallift
{
class EventLoop;

// Sends requests to searchers over connections that are not managed by an HTTP library, so that no request is resent. An
// idle connection to the searcher is used before a new one is opened. The number of concurrent requests is not limited here.
class UpstreamClient
{
public:
    struct Request {
        AttemptId attempt;
        std::string searcher;
        std::string address;
        // Encodes the request, headers and body.
        UpstreamConnection::Encoder encode;
        // The request is not sent if its connection is not established by this time.
        TimePoint deadline = TimePoint::max();
        // False if the response has no body regardless of its headers, as after HEAD.
        bool expectsBody = true;
    };

    struct Hooks {
        // Whether a response is for the attempt's request. A response for another request is a failure of the attempt.
        std::function<bool(AttemptId, const UpstreamResponse &)> matchesRequest;
        // Called with the complete response to an attempt.
        std::function<void(AttemptId, UpstreamResponse)> replied;
        // The attempt ended without a matching response. `sent` is false only if no byte of the request was sent.
        std::function<void(AttemptId, Failure, bool sent)> failed;
        // Called before a connection to the searcher is opened, also if opening it fails.
        std::function<void(const std::string &searcher)> opened;
        // Called when the first byte of a request was written, with the time since send().
        std::function<void(Duration)> started = [](Duration) {
        };
    };

    // The limit bounds the bytes of incomplete responses on all connections.
    UpstreamClient(EventLoop &loop, Hooks hooks, std::size_t responseLimit = ResponseBuffers::DefaultLimit);
    ~UpstreamClient();
    UpstreamClient(const UpstreamClient &) = delete;
    UpstreamClient &operator=(const UpstreamClient &) = delete;

    // Sends a request; either `replied` or `failed` is called for it later, unless it is cancelled.
    void send(Request request);

    // Closes the connection of an attempt that has not ended. Unknown attempts are ignored.
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
    ResponseBuffers m_buffers;
    std::unordered_map<std::string, Connections> m_idle;
    std::unordered_map<AttemptId, UpstreamConnection *> m_busy;
    // Closed connections, to be deleted later: the reactor may be inside a call of their member functions.
    Connections m_retired;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};
}
