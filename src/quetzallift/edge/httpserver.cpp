#include "quetzallift/edge/httpserver.h"

#include "quetzallift/edge/closewatch.h"
#include "quetzallift/edge/eventloop.h"
#include "quetzallift/edge/socketaddress.h"
#include "quetzallift/model/error.h"

#include <ace/Event_Handler.h>
#include <microhttpd.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <unistd.h>

#include <utility>

namespace Quetzallift
{
namespace
{
// The largest queries and bundle parts are far smaller.
constexpr std::size_t MaximumBodySize = 1024U * 1024U;
constexpr unsigned IdleTimeoutSeconds = 120;
// Half of the file descriptors that a small host has.
constexpr unsigned MaximumConnections = 2000;

// The time since the kernel last received data on the connection; zero if the kernel does not report it.
Duration timeSinceLastData(MHD_Connection *connection)
{
    const MHD_socket socket = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
    tcp_info info{};
    socklen_t size = sizeof(info);
    const bool known = getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) == 0;
    return std::chrono::milliseconds(known ? info.tcpi_last_data_recv : 0);
}
}

// The libmicrohttpd callbacks of one server.
class HttpServerCallbacks
{
public:
    HttpServerCallbacks(ACE_Reactor &reactor, HttpServer::Handler handler, ConnectionHooks hooks, std::function<void()> scheduleRun)
        : m_handler(std::move(handler))
        , m_hooks(std::move(hooks))
        , m_scheduleRun(std::move(scheduleRun))
        , m_closeWatch(reactor)
    { }

    // Closes the suspended connections, and later each connection on which another request arrives, since libmicrohttpd
    // cannot stop while connections are suspended. No response is sent, because the outcome of the request is unknown.
    void closeConnections()
    {
        m_shuttingDown = true;
        while (!m_suspended.empty()) {
            m_suspended.front().drop();
        }
    }

    // Called when the request line was read. The other callbacks receive the returned exchange in their slot argument.
    static void *onTarget(void *, const char *target, MHD_Connection *connection)
    {
        auto *exchange = new HttpExchange(connection, target, timeSinceLastData(connection));
        intrusive_ptr_add_ref(exchange);
        return exchange;
    }

    static MHD_Result
    onRequest(void *context, MHD_Connection *, const char *url, const char *method, const char *, const char *uploadData, std::size_t *uploadSize, void **slot)
    {
        auto *exchange = static_cast<HttpExchange *>(*slot);
        if (!exchange->m_started) {
            exchange->start(method, url);
            return MHD_YES;
        }
        if (*uploadSize > 0) {
            appendUpload(*exchange, uploadData, *uploadSize);
            *uploadSize = 0;
            return MHD_YES;
        }
        auto *self = static_cast<HttpServerCallbacks *>(context);
        if (self->m_shuttingDown && !exchange->m_responded) {
            return MHD_NO;
        }
        if (!exchange->m_handled) {
            self->handle(*exchange);
        }
        return exchange->m_responded ? queueResponse(*exchange) : self->suspend(*exchange);
    }

    static MHD_Result onAccept(void *context, const sockaddr *, socklen_t)
    {
        const ConnectionHooks &hooks = static_cast<HttpServerCallbacks *>(context)->m_hooks;
        return !hooks.accept || hooks.accept() ? MHD_YES : MHD_NO;
    }

    static void onConnection(void *context, MHD_Connection *connection, void **, MHD_ConnectionNotificationCode code)
    {
        const ConnectionHooks &hooks = static_cast<HttpServerCallbacks *>(context)->m_hooks;
        const auto &hook = code == MHD_CONNECTION_NOTIFY_STARTED ? hooks.opened : hooks.closed;
        if (hook) {
            hook(formatAddress(*MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS)->client_addr));
        }
    }

    static void onCompleted(void *, MHD_Connection *, void **slot, MHD_RequestTerminationCode)
    {
        auto *exchange = static_cast<HttpExchange *>(*slot);
        *slot = nullptr;
        if (exchange == nullptr) {
            return;
        }
        exchange->m_connection = nullptr;
        if (!exchange->m_responded && exchange->m_closedHandler) {
            exchange->m_closedHandler();
        }
        exchange->m_closedHandler = nullptr;
        intrusive_ptr_release(exchange);
    }

private:
    static void appendUpload(HttpExchange &exchange, const char *data, std::size_t size)
    {
        exchange.m_bodyTooLarge = exchange.m_bodyTooLarge || exchange.m_body.size() + size > MaximumBodySize;
        if (!exchange.m_bodyTooLarge) {
            exchange.m_body.append(data, size);
        }
    }

    void handle(HttpExchange &exchange)
    {
        exchange.m_handled = true;
        if (exchange.m_bodyTooLarge) {
            exchange.respond(MHD_HTTP_CONTENT_TOO_LARGE, R"({"error":"the request body exceeds the limit of 1 MiB","step":"admit"})");
            return;
        }
        m_handler(HttpExchangePtr(&exchange));
    }

    MHD_Result suspend(HttpExchange &exchange)
    {
        m_suspended.push_back(exchange);
        const MHD_socket socket = MHD_get_connection_info(exchange.m_connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
        exchange.m_resumeConnection = [this, socket, connection = exchange.m_connection] {
            m_closeWatch.remove(socket);
            MHD_resume_connection(connection);
            m_scheduleRun();
        };
        m_closeWatch.add(socket, [&exchange] {
            closeSuspended(exchange);
        });
        MHD_suspend_connection(exchange.m_connection);
        return MHD_YES;
    }

    // Ends a suspended request whose peer closed the connection.
    static void closeSuspended(HttpExchange &exchange)
    {
        const HttpExchangePtr kept(&exchange);
        const std::function<void()> handler = std::move(exchange.m_closedHandler);
        exchange.m_closedHandler = nullptr;
        if (handler) {
            handler();
        }
        exchange.drop();
    }

    static MHD_Result queueResponse(HttpExchange &exchange)
    {
        if (exchange.m_dropped) {
            return MHD_NO;
        }
        MHD_Response *response = MHD_create_response_from_buffer(exchange.m_response.size(), exchange.m_response.data(), MHD_RESPMEM_MUST_COPY);
        for (const Header &header : exchange.m_headers) {
            MHD_add_response_header(response, header.name.c_str(), header.value.c_str());
        }
        const MHD_Result result = MHD_queue_response(exchange.m_connection, exchange.m_status, response);
        MHD_destroy_response(response);
        return result;
    }

    using SuspendedList = boost::intrusive::list<HttpExchange,
                                                 boost::intrusive::member_hook<HttpExchange, HttpExchange::Hook, &HttpExchange::m_suspended>,
                                                 boost::intrusive::constant_time_size<false>>;

    HttpServer::Handler m_handler;
    ConnectionHooks m_hooks;
    std::function<void()> m_scheduleRun;
    CloseWatch m_closeWatch;
    SuspendedList m_suspended;
    bool m_shuttingDown = false;
};

// Runs a libmicrohttpd daemon whose epoll descriptor is registered with the reactor.
class HttpServer::Daemon : public ACE_Event_Handler
{
public:
    Daemon(EventLoop &loop, const std::string &address, Handler handler, ConnectionHooks hooks)
        : m_loop(loop)
        , m_callbacks(loop.reactor(), std::move(handler), std::move(hooks), [this] {
            scheduleRun(Clock::now());
        })
    {
        const sockaddr_in socketAddress = parseAddress(address);
        m_daemon = MHD_start_daemon(MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME,
                                    0,
                                    &HttpServerCallbacks::onAccept,
                                    &m_callbacks,
                                    &HttpServerCallbacks::onRequest,
                                    &m_callbacks,
                                    MHD_OPTION_SOCK_ADDR,
                                    &socketAddress,
                                    MHD_OPTION_LISTENING_ADDRESS_REUSE,
                                    1U,
                                    MHD_OPTION_LISTEN_BACKLOG_SIZE,
                                    1024U,
                                    MHD_OPTION_CONNECTION_TIMEOUT,
                                    IdleTimeoutSeconds,
                                    MHD_OPTION_CONNECTION_LIMIT,
                                    MaximumConnections,
                                    MHD_OPTION_URI_LOG_CALLBACK,
                                    &HttpServerCallbacks::onTarget,
                                    &m_callbacks,
                                    MHD_OPTION_NOTIFY_COMPLETED,
                                    &HttpServerCallbacks::onCompleted,
                                    nullptr,
                                    MHD_OPTION_NOTIFY_CONNECTION,
                                    &HttpServerCallbacks::onConnection,
                                    &m_callbacks,
                                    MHD_OPTION_END);
        if (m_daemon == nullptr) {
            throw Error(Step::Settings, address, "cannot listen on this address");
        }
        m_handle = MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
        m_loop.reactor().register_handler(this, ACE_Event_Handler::READ_MASK);
    }

    ~Daemon() override
    {
        *m_alive = false;
        m_loop.reactor().remove_handler(this, ACE_Event_Handler::READ_MASK | ACE_Event_Handler::DONT_CALL);
        stopListening();
        m_callbacks.closeConnections();
        MHD_run(m_daemon);
        MHD_stop_daemon(m_daemon);
    }

    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    void stopListening()
    {
        const MHD_socket listening = MHD_quiesce_daemon(m_daemon);
        if (listening != MHD_INVALID_SOCKET) {
            close(listening);
        }
    }

    ACE_HANDLE get_handle() const override
    {
        return m_handle;
    }

    int handle_input(ACE_HANDLE) override
    {
        runDaemon();
        return 0;
    }

private:
    // Runs the daemon, and schedules the next run for the time that the daemon asks for: its epoll descriptor is
    // edge-triggered internally, so that unfinished work does not wake the reactor.
    void runDaemon()
    {
        MHD_run(m_daemon);
        MHD_UNSIGNED_LONG_LONG waitMs = 0;
        if (MHD_get_timeout(m_daemon, &waitMs) == MHD_YES) {
            scheduleRun(Clock::now() + std::chrono::milliseconds(waitMs));
        }
    }

    // Runs the daemon at the given time, unless an earlier run is scheduled.
    void scheduleRun(TimePoint at)
    {
        if (m_timerSet && m_timerAt <= at) {
            return;
        }
        m_timerSet = true;
        m_timerAt = at;
        m_loop.callAt(at, [this, at, alive = m_alive] {
            if (*alive && m_timerSet && m_timerAt == at) {
                m_timerSet = false;
                runDaemon();
            }
        });
    }

    EventLoop &m_loop;
    HttpServerCallbacks m_callbacks;
    MHD_Daemon *m_daemon = nullptr;
    ACE_HANDLE m_handle = ACE_INVALID_HANDLE;
    bool m_timerSet = false;
    TimePoint m_timerAt;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

HttpServer::HttpServer(EventLoop &loop, const std::string &address, Handler handler, ConnectionHooks hooks)
    : m_daemon(std::make_unique<Daemon>(loop, address, std::move(handler), std::move(hooks)))
{ }

HttpServer::~HttpServer() = default;

void HttpServer::stopListening()
{
    m_daemon->stopListening();
}
}
