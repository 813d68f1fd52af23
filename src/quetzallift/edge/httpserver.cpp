#include "quetzallift/edge/httpserver.h"

#include "quetzallift/edge/eventloop.h"
#include "quetzallift/edge/serverconnection.h"
#include "quetzallift/edge/socketaddress.h"
#include "quetzallift/model/error.h"

#include <ace/Event_Handler.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdint>
#include <utility>
#include <vector>

namespace Quetzallift
{
namespace
{
// Limits of clients if the owner of the server sets none.
constexpr ClientLimits DefaultLimits = {32768, std::size_t{1024} * 1024, std::chrono::seconds(30), std::chrono::seconds(120)};
// The shortest time between two checks of the connections' deadlines.
constexpr Duration MinimumCheckInterval = std::chrono::milliseconds(250);
// What the kernel keeps for a connection that the host does not read, and for one whose client does not read.
constexpr int SocketBufferSize = 32768;
constexpr int ListenBacklog = 1024;
// Other sockets of the loop are served between these.
constexpr int MaximumAcceptsPerEvent = 64;
// How long nothing is accepted after the limit of connections or of file descriptors was reached.
constexpr Duration AcceptPause = std::chrono::milliseconds(100);

ACE_HANDLE listenOn(const std::string &address)
{
    const sockaddr_in socketAddress = parseAddress(address);
    const int handle = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    if (handle < 0 || setsockopt(handle, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) != 0 || setsockopt(handle, SOL_SOCKET, SO_REUSEPORT, &on, sizeof(on)) != 0
        || setsockopt(handle, SOL_SOCKET, SO_RCVBUF, &SocketBufferSize, sizeof(SocketBufferSize)) != 0
        || setsockopt(handle, SOL_SOCKET, SO_SNDBUF, &SocketBufferSize, sizeof(SocketBufferSize)) != 0
        || bind(handle, reinterpret_cast<const sockaddr *>(&socketAddress), sizeof(socketAddress)) != 0 || listen(handle, ListenBacklog) != 0) {
        if (handle >= 0) {
            close(handle);
        }
        throw Error(Step::Settings, address, "cannot listen on this address");
    }
    return handle;
}
}

// Accepts connections and owns them.
class HttpServer::Listener : public ACE_Event_Handler
{
public:
    Listener(EventLoop &loop, const std::string &address, Handler handler, ConnectionHooks hooks, ServerResources resources)
        : m_loop(loop)
        , m_hooks(std::move(hooks))
        , m_resources(std::move(resources))
        , m_listening(listenOn(address))
    {
        if (!m_resources.memory) {
            m_resources.memory = new ClientMemory(SIZE_MAX);
        }
        m_connectionHooks.requested = std::move(handler);
        m_connectionHooks.limits = m_hooks.limits ? m_hooks.limits : [] {
            return DefaultLimits;
        };
        m_connectionHooks.phaseChanged = [this](ServerConnection &connection) {
            connection.hook.unlink();
            add(connection);
        };
        m_connectionHooks.rejected = [this](ClientRejection rejection) {
            if (m_hooks.rejected) {
                m_hooks.rejected(rejection);
            }
        };
        m_connectionHooks.closed = [this](ServerConnection &connection) {
            release(connection);
        };
        m_loop.reactor().register_handler(this, ACE_Event_Handler::READ_MASK);
    }

    ~Listener() override
    {
        *m_alive = false;
        closeListeningSocket();
        for (ConnectionList *connections : {&m_serving, &m_waiting}) {
            while (!connections->empty()) {
                connections->front().close();
            }
        }
    }

    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;

    void stopListening()
    {
        // The kernel resets the connections that are still waiting to be accepted.
        while (m_listening != ACE_INVALID_HANDLE && hasRoom() && acceptOne()) { }
        closeListeningSocket();
    }

    ACE_HANDLE get_handle() const override
    {
        return m_listening;
    }

    int handle_input(ACE_HANDLE) override
    {
        for (int accepted = 0; accepted < MaximumAcceptsPerEvent; ++accepted) {
            if (!hasRoom()) {
                pauseAccepting();
                return 0;
            }
            if (!acceptOne()) {
                return 0;
            }
        }
        return 0;
    }

private:
    // False if no connection can be closed for another one, since all wait for this host rather than for their clients.
    bool hasRoom() const
    {
        return m_connectionCount < m_resources.connections || !m_waiting.empty();
    }

    // Returns false if no connection can be accepted now.
    bool acceptOne()
    {
        sockaddr_in address{};
        socklen_t size = sizeof(address);
        const int socket = accept4(m_listening, reinterpret_cast<sockaddr *>(&address), &size, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (socket >= 0) {
            adopt(socket, formatAddress(reinterpret_cast<const sockaddr &>(address)));
            return true;
        }
        if ((errno == EMFILE || errno == ENFILE) && !m_waiting.empty()) {
            m_waiting.front().closeForAnother();
            return true;
        }
        if (errno != EAGAIN && errno != EINTR && errno != ECONNABORTED) {
            // The listening socket stays readable, which would wake the loop again at once.
            pauseAccepting();
        }
        return false;
    }

    void adopt(ACE_HANDLE socket, const std::string &peer)
    {
        const ServerConnectionPtr connection(new ServerConnection(m_loop, socket, peer, m_resources.memory, m_connectionHooks));
        if ((m_hooks.accept && !m_hooks.accept()) || !connection->start()) {
            return;
        }
        const int on = 1;
        setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        if (m_connectionCount >= m_resources.connections) {
            m_waiting.front().closeForAnother();
        }
        intrusive_ptr_add_ref(connection.get());
        add(*connection);
        ++m_connectionCount;
        if (m_hooks.opened) {
            m_hooks.opened(peer);
        }
    }

    void add(ServerConnection &connection)
    {
        if (connection.phase() == ServerConnection::Phase::Serving) {
            m_serving.push_back(connection);
        } else {
            m_waiting.push_back(connection);
            scheduleCheck(connection.deadline());
        }
    }

    void release(ServerConnection &connection)
    {
        constexpr bool AddReference = true;
        connection.hook.unlink();
        --m_connectionCount;
        if (m_hooks.closed) {
            m_hooks.closed(connection.peer());
        }
        // Released from the loop, since functions of the connection may be running.
        m_loop.callAt(Clock::now(), [kept = ServerConnectionPtr(&connection, !AddReference)] {
        });
    }

    void pauseAccepting()
    {
        // A handler that is registered for no event cannot be removed.
        m_loop.reactor().remove_handler(this, ACE_Event_Handler::READ_MASK | ACE_Event_Handler::DONT_CALL);
        m_loop.callAt(Clock::now() + AcceptPause, [this, alive = m_alive] {
            if (*alive && m_listening != ACE_INVALID_HANDLE) {
                m_loop.reactor().register_handler(this, ACE_Event_Handler::READ_MASK);
            }
        });
    }

    // Sees to it that the deadlines are checked at the given time or before.
    void scheduleCheck(TimePoint at)
    {
        if (at >= m_checkAt) {
            return;
        }
        m_checkAt = at;
        m_loop.callAt(at, [this, at, alive = m_alive] {
            if (*alive && at == m_checkAt) {
                m_checkAt = TimePoint::max();
                checkDeadlines();
            }
        });
    }

    void checkDeadlines()
    {
        const TimePoint now = Clock::now();
        // Handling one connection may move or close others.
        std::vector<ServerConnectionPtr> expired;
        for (ServerConnection &connection : m_waiting) {
            if (connection.deadline() <= now) {
                expired.emplace_back(&connection);
            }
        }
        for (const ServerConnectionPtr &connection : expired) {
            connection->handleDeadline();
        }
        TimePoint next = TimePoint::max();
        for (const ServerConnection &connection : m_waiting) {
            next = std::min(next, connection.deadline());
        }
        if (next != TimePoint::max()) {
            scheduleCheck(std::max(next, now + MinimumCheckInterval));
        }
    }

    void closeListeningSocket()
    {
        if (m_listening != ACE_INVALID_HANDLE) {
            m_loop.reactor().remove_handler(this, ACE_Event_Handler::ALL_EVENTS_MASK | ACE_Event_Handler::DONT_CALL);
            ::close(m_listening);
            m_listening = ACE_INVALID_HANDLE;
        }
    }

    using ConnectionList = boost::intrusive::list<ServerConnection,
                                                  boost::intrusive::member_hook<ServerConnection, ServerConnection::Hook, &ServerConnection::hook>,
                                                  boost::intrusive::constant_time_size<false>>;

    EventLoop &m_loop;
    ConnectionHooks m_hooks;
    ServerResources m_resources;
    ACE_HANDLE m_listening;
    ServerConnection::Hooks m_connectionHooks;
    // The open connections whose requests are being answered, and those that wait for their clients, the longest wait first.
    // The lists hold a reference to each.
    ConnectionList m_serving;
    ConnectionList m_waiting;
    std::size_t m_connectionCount = 0;
    // The earliest time at which deadlines are checked.
    TimePoint m_checkAt = TimePoint::max();
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

HttpServer::HttpServer(EventLoop &loop, const std::string &address, Handler handler, ConnectionHooks hooks, ServerResources resources)
    : m_listener(std::make_unique<Listener>(loop, address, std::move(handler), std::move(hooks), std::move(resources)))
{ }

HttpServer::~HttpServer() = default;

void HttpServer::stopListening()
{
    m_listener->stopListening();
}
}
