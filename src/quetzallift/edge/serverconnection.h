#pragma once

#include "quetzallift/edge/httpexchange.h"
#include "quetzallift/edge/requestreader.h"
#include "quetzallift/model/time.h"

#include <ace/Event_Handler.h>
#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <functional>
#include <optional>
#include <string>

namespace Quetzallift
{
class EventLoop;

// One connection of a client to an HttpServer. It serves one request at a time, in the order received. Used on the loop's
// thread only.
class ServerConnection : public ACE_Event_Handler, public boost::intrusive_ref_counter<ServerConnection, boost::thread_unsafe_counter>
{
public:
    struct Hooks {
        // A request is complete. The exchange may be answered during the call or later.
        std::function<void(const HttpExchangePtr &)> requested;
        // The greatest size of a request line and its headers together.
        std::function<std::size_t()> headLimit;
        // The connection has closed; called once.
        std::function<void(ServerConnection &)> closed;
    };

    // Takes over a connected socket. The hooks must outlive the connection's socket.
    ServerConnection(EventLoop &loop, ACE_HANDLE socket, std::string peer, const Hooks &hooks);
    ~ServerConnection() override;
    ServerConnection(const ServerConnection &) = delete;
    ServerConnection &operator=(const ServerConnection &) = delete;

    // Starts to read requests. Returns false if the socket cannot be watched.
    bool start();

    // Closes the socket. A request that was not answered is abandoned; its closed handler is not called.
    void close();

    // Sends the response of the exchange in progress, or closes the connection if the exchange was dropped.
    void finishExchange();

    // The remote address, as "ip:port".
    const std::string &peer() const;

    // Whether the client has neither sent nor read anything since the given time and waits for no response.
    bool isIdleSince(TimePoint time) const;

    int handle_input(ACE_HANDLE handle) override;
    int handle_output(ACE_HANDLE handle) override;
    ACE_HANDLE get_handle() const override;

    using Hook = boost::intrusive::list_member_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;
    Hook hook;

private:
    void readRequests();
    void sendContinue();
    void beginExchange();
    // Answers bytes that are no acceptable request, and closes the connection.
    void refuse(unsigned status, const std::string &reason);
    void sendResponse(const HttpServerResponse &response, const std::string &method);
    void flush();
    void finishResponse();
    // Closes the connection once the client has read the response.
    void linger();
    // Handles the end of the client's bytes; `inOrder` is false after a reset.
    void handleClientClose(bool inOrder);
    void watch(ACE_Reactor_Mask event, bool &watched, bool wanted);

    EventLoop &m_loop;
    ACE_HANDLE m_socket;
    std::string m_peer;
    const Hooks &m_hooks;
    TimePoint m_lastActivity;

    // Bytes that were received and not read yet.
    std::string m_input;
    // The reader of the request that is being received; empty between requests.
    std::optional<RequestReader> m_reader;
    // How long the first byte of that request waited in the socket.
    Duration m_waited = Duration::zero();
    bool m_continueSent = false;
    // True while readRequests() is running.
    bool m_reading = false;

    // The request that is being answered.
    HttpExchangePtr m_exchange;
    bool m_keepAlive = false;
    bool m_isHttp10 = false;

    std::string m_output;
    std::size_t m_written = 0;
    // True once the last response was sent; what the client still sends is discarded.
    bool m_lingering = false;
    // True once the client has closed its side while a response was being sent.
    bool m_inputEnded = false;
    bool m_inputWatched = true;
    bool m_outputWatched = false;
};

using ServerConnectionPtr = boost::intrusive_ptr<ServerConnection>;
}
