#include "quetzallift/edge/upstreamclient.h"

#include "quetzallift/edge/eventloop.h"

#include <utility>

namespace Quetzallift
{
namespace
{
struct Deleter {
    void operator()(UpstreamConnection *connection) const
    {
        delete connection;
    }
};
}

UpstreamClient::UpstreamClient(EventLoop &loop, Hooks hooks, std::size_t responseLimit)
    : m_loop(loop)
    , m_hooks(std::move(hooks))
    , m_buffers(responseLimit)
{ }

UpstreamClient::~UpstreamClient()
{
    *m_alive = false;
    for (const auto &[attempt, connection] : m_busy) {
        delete connection;
    }
    for (auto &[searcher, connections] : m_idle) {
        connections.clear_and_dispose(Deleter());
    }
    m_retired.clear_and_dispose(Deleter());
}

void UpstreamClient::send(Request request)
{
    UpstreamConnection *idle = takeIdle(request.searcher);
    UpstreamConnection &connection = idle != nullptr ? *idle : open(request);
    m_busy[request.attempt] = &connection;
    if (connection.send(request.attempt, std::move(request.encode), request.deadline, request.expectsBody)) {
        return;
    }
    // Reported from the loop: the effects of the event that led to this request are still being executed.
    m_loop.callAt(Clock::now(), [this, attempt = request.attempt, searcher = request.searcher, alive = m_alive] {
        const auto found = *alive ? m_busy.find(attempt) : m_busy.end();
        if (found != m_busy.end()) {
            handleFailure(
                *found->second,
                Failure{Step::Connect, searcher, FailureKind::ConnectionRefused, "cannot start a connection: the address is invalid or a system call failed"},
                false);
        }
    });
}

UpstreamConnection *UpstreamClient::takeIdle(const std::string &searcher)
{
    const auto found = m_idle.find(searcher);
    while (found != m_idle.end() && !found->second.empty()) {
        // The most recently used connection is the least likely to be closed by the searcher.
        UpstreamConnection &connection = found->second.back();
        if (connection.isReusable()) {
            connection.hook.unlink();
            return &connection;
        }
        retire(connection);
    }
    return nullptr;
}

UpstreamConnection &UpstreamClient::open(const Request &request)
{
    m_hooks.opened(request.searcher);
    UpstreamConnection::Hooks hooks;
    hooks.replied = [this](UpstreamConnection &connection, UpstreamResponse response) {
        handleReply(connection, std::move(response));
    };
    hooks.failed = [this](UpstreamConnection &connection, const Failure &failure, bool sent) {
        handleFailure(connection, failure, sent);
    };
    hooks.started = m_hooks.started;
    hooks.closed = [this](UpstreamConnection &connection) {
        retire(connection);
    };
    return *new UpstreamConnection(m_loop.reactor(), m_buffers, request.searcher, request.address, std::move(hooks));
}

void UpstreamClient::handleReply(UpstreamConnection &connection, UpstreamResponse response)
{
    const AttemptId attempt = connection.attempt();
    if (!m_hooks.matchesRequest(attempt, response)) {
        handleFailure(connection, Failure{Step::Wait, connection.searcher(), FailureKind::BadReply, "the response is for another request"}, true);
        return;
    }
    m_busy.erase(attempt);
    // Made idle before the reply is reported, so that a request sent by the hook can use the connection.
    if (connection.isReusable()) {
        m_idle[connection.searcher()].push_back(connection);
    } else {
        retire(connection);
    }
    m_hooks.replied(attempt, std::move(response));
}

void UpstreamClient::handleFailure(UpstreamConnection &connection, const Failure &failure, bool sent)
{
    const AttemptId attempt = connection.attempt();
    m_busy.erase(attempt);
    retire(connection);
    m_hooks.failed(attempt, failure, sent);
}

void UpstreamClient::cancel(AttemptId attempt)
{
    const auto found = m_busy.find(attempt);
    if (found != m_busy.end()) {
        UpstreamConnection &connection = *found->second;
        m_busy.erase(found);
        retire(connection);
    }
}

void UpstreamClient::closeIdle(const std::string &searcher)
{
    const auto found = m_idle.find(searcher);
    while (found != m_idle.end() && !found->second.empty()) {
        retire(found->second.front());
    }
}

void UpstreamClient::retire(UpstreamConnection &connection)
{
    connection.closeSocket();
    connection.hook.unlink();
    if (m_retired.empty()) {
        m_loop.callAt(Clock::now(), [this, alive = m_alive] {
            if (*alive) {
                m_retired.clear_and_dispose(Deleter());
            }
        });
    }
    m_retired.push_back(connection);
}
}
