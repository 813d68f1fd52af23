#pragma once

#include "quetzallift/edge/clientmemory.h"
#include "quetzallift/edge/httpexchange.h"
#include "quetzallift/edge/requestreader.h"
#include "quetzallift/model/clientrejection.h"
#include "quetzallift/model/routetable.h"
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
        // What the client may send, and how long it may take.
        std::function<ClientLimits()> limits;
        // The connection has entered another phase.
        std::function<void(ServerConnection &)> phaseChanged;
        // A request was refused before it was complete, or the connection is closed without an answer.
        std::function<void(ClientRejection)> rejected;
        // The connection has closed; called once.
        std::function<void(ServerConnection &)> closed;
    };

    // What a connection waits for.
    enum class Phase {
        // The first byte of a request.
        Idle,
        // The rest of a request.
        Receiving,
        // The answer.
        Serving,
        // The client, which has not read the whole answer.
        Sending,
        // The client, which has not closed the connection after its last answer.
        Lingering,
    };

    // Takes over a connected socket. The hooks must outlive the connection's socket.
    ServerConnection(EventLoop &loop, ACE_HANDLE socket, std::string peer, const ClientMemoryPtr &memory, const Hooks &hooks);
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

    Phase phase() const;

    // The time at which the client will have taken too long, if nothing changes.
    TimePoint deadline() const;

    // Ends what the client has not completed at its deadline: refuses a request, or closes the connection.
    void handleDeadline();

    // Closes the connection to make room for another one.
    void closeForAnother();

    int handle_input(ACE_HANDLE handle) override;
    int handle_output(ACE_HANDLE handle) override;
    ACE_HANDLE get_handle() const override;

    using Hook = boost::intrusive::list_member_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;
    Hook hook;

private:
    void enter(Phase phase);
    // Lets others reclaim the bytes of this connection while it waits for the client.
    void updateReclaim();
    // Charges the bytes that the connection holds. Returns false if they exceed the memory for all connections.
    bool charge();
    void readRequests();
    void readMore();
    void sendContinue();
    void beginExchange();
    // Answers bytes that are no acceptable request, and closes the connection.
    void refuse(unsigned status, ClientRejection rejection, const std::string &reason);
    void refuseForMemory();
    // Keeps what was read while the client waits for an answer, as long as there is room for it.
    void readAhead();
    void sendResponse(const HttpServerResponse &response, const std::string &method);
    void flush();
    // Waits until the client reads the rest of the response.
    void awaitReading();
    void dropAnswer();
    void finishResponse();
    // Closes the connection once the client has read the response.
    void linger();
    void discard(std::size_t size);
    // Handles the end of the client's bytes; `inOrder` is false after a reset.
    void handleClientClose(bool inOrder);
    void watch(ACE_Reactor_Mask event, bool &watched, bool wanted);

    EventLoop &m_loop;
    ACE_HANDLE m_socket;
    std::string m_peer;
    const Hooks &m_hooks;
    Phase m_phase = Phase::Idle;
    // When the phase began, and when the client last sent or read anything.
    TimePoint m_phaseSince;
    TimePoint m_lastActivity;
    // The limits on the size of the request that is being received.
    ClientLimits m_limits;

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
    // The bytes above.
    ClientMemory::Charge m_charge;
    // What the client has sent since its last answer.
    std::size_t m_discarded = 0;
    // True once the client has closed its side while a response was being sent.
    bool m_inputEnded = false;
    bool m_inputWatched = true;
    bool m_outputWatched = false;
};

using ServerConnectionPtr = boost::intrusive_ptr<ServerConnection>;
}
