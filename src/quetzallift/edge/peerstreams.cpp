#include "quetzallift/edge/peerstreams.h"

#include "quetzallift/edge/eventloop.h"
#include "quetzallift/edge/peersession.h"
#include "quetzallift/edge/socketaddress.h"
#include "quetzallift/model/error.h"

#include <ace/INET_Addr.h>
#include <ace/SOCK_Acceptor.h>
#include <ace/SOCK_Connector.h>

#include <netinet/tcp.h>

#include <algorithm>
#include <cerrno>
#include <map>
#include <set>

namespace Quetzallift
{
namespace
{
// Limits of open connections. A host exchanges messages with few peers per second, regardless of the size of the fleet.
constexpr std::size_t MaximumOutgoingConnections = 128;
constexpr std::size_t MaximumIncomingConnections = 512;
constexpr Duration SweepPeriod = std::chrono::milliseconds(250);
// A connection with messages in progress is aborted if the peer sends nothing within this time. This includes a
// connection that is not established.
constexpr Duration ProgressTimeout = std::chrono::seconds(2);
// A connection without messages is closed gracefully after this time, and aborted if it is still open ProgressTimeout
// later.
constexpr Duration IdleTimeout = std::chrono::seconds(30);

ACE_INET_Addr toAceAddress(const std::string &text)
{
    const sockaddr_in address = parseAddress(text);
    return {&address, sizeof address};
}

void prepareSocket(ACE_SOCK_Stream &socket)
{
    int on = 1;
    socket.set_option(IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    socket.enable(ACE_NONBLOCK);
}
}

// Owns the listening socket and the sessions.
class PeerStreams::Engine : public ACE_Event_Handler
{
public:
    Engine(EventLoop &loop, const std::string &listenAddress, Callbacks callbacks)
        : m_loop(loop)
        , m_ownAddress(listenAddress)
        , m_callbacks(std::move(callbacks))
    {
        if (m_acceptor.open(toAceAddress(listenAddress), 1) != 0) {
            throw Error(Step::Settings, listenAddress, "cannot listen on this peer address");
        }
        m_acceptor.enable(ACE_NONBLOCK);
        m_loop.reactor().register_handler(m_acceptor.get_handle(), this, ACCEPT_MASK);
    }

    ~Engine() override
    {
        *m_alive = false;
        stopListening();
        const auto outgoing = m_outgoing;
        for (const auto &[address, session] : outgoing) {
            session->abort();
        }
        const auto otherSessions = m_otherSessions;
        for (const PeerSessionPtr &session : otherSessions) {
            session->abort();
        }
    }

    Engine(const Engine &) = delete;
    Engine &operator=(const Engine &) = delete;

    bool send(const std::string &address, std::string bytes)
    {
        if (m_stopping) {
            return false;
        }
        auto found = m_outgoing.find(address);
        if (found != m_outgoing.end() && found->second->isGoingAway()) {
            m_otherSessions.insert(found->second);
            m_outgoing.erase(found);
            found = m_outgoing.end();
        }
        if (found != m_outgoing.end()) {
            return found->second->send(std::move(bytes));
        }
        const PeerSessionPtr session = connect(address);
        return session && session->send(std::move(bytes));
    }

    void shutdown()
    {
        m_stopping = true;
        stopListening();
        const auto outgoing = m_outgoing;
        for (const auto &[address, session] : outgoing) {
            session->closeGracefully();
        }
        const auto otherSessions = m_otherSessions;
        for (const PeerSessionPtr &session : otherSessions) {
            session->closeGracefully();
        }
    }

    int handle_input(ACE_HANDLE) override
    {
        ACE_SOCK_Stream socket;
        ACE_INET_Addr remote;
        while (m_acceptor.accept(socket, &remote, nullptr, false) == 0) {
            handleAccepted(socket, remote);
        }
        return 0;
    }

private:
    void handleAccepted(ACE_SOCK_Stream &socket, const ACE_INET_Addr &remote)
    {
        if (m_incoming >= MaximumIncomingConnections) {
            socket.close();
            return;
        }
        prepareSocket(socket);
        const std::string peer = formatAddress(*static_cast<const sockaddr *>(remote.get_addr()));
        const PeerSessionPtr session(new PeerSession(m_loop.reactor(), socket, PeerSide::Receiver, peer, m_ownAddress, hooks()), false);
        ++m_incoming;
        m_otherSessions.insert(session);
        if (!session->open()) {
            removeSession(*session);
        }
        scheduleSweep();
    }

    // Starts a connection without waiting until it is established. Null if the limit is reached, or if connect() or
    // the registration with the reactor fails immediately; these two failures are reported through Callbacks::failed.
    PeerSessionPtr connect(const std::string &address)
    {
        if (m_outgoing.size() >= MaximumOutgoingConnections && !closeLeastRecentlyUsed()) {
            return {};
        }
        ACE_SOCK_Stream socket;
        ACE_SOCK_Connector connector;
        // The receiver rejects messages whose sender address has another IP address than the connection
        // (PeerSession::isSenderAllowed), so the connection is made from the listening IP address.
        ACE_INET_Addr local = toAceAddress(m_ownAddress);
        local.set_port_number(0);
        const int connected = connector.connect(socket, toAceAddress(address), &ACE_Time_Value::zero, local);
        if (connected != 0 && errno != EWOULDBLOCK && errno != EINPROGRESS) {
            socket.close();
            scheduleFailureReport(address);
            return {};
        }
        prepareSocket(socket);
        PeerSessionPtr session(new PeerSession(m_loop.reactor(), socket, PeerSide::Sender, address, m_ownAddress, hooks()), false);
        if (!session->open()) {
            scheduleFailureReport(address);
            return {};
        }
        m_outgoing[address] = session;
        scheduleSweep();
        return session;
    }

    bool closeLeastRecentlyUsed()
    {
        PeerSessionPtr oldest;
        for (const auto &[address, session] : m_outgoing) {
            if (session->isIdle() && (!oldest || session->lastProgress() < oldest->lastProgress())) {
                oldest = session;
            }
        }
        if (!oldest) {
            return false;
        }
        m_outgoing.erase(oldest->peer());
        m_otherSessions.insert(oldest);
        oldest->closeGracefully();
        return true;
    }

    PeerSession::Hooks hooks()
    {
        PeerSession::Hooks hooks;
        hooks.received = [this, alive = m_alive](const std::string &from, std::string bytes) {
            if (*alive) {
                m_callbacks.received(from, std::move(bytes));
            }
        };
        hooks.closed = [this, alive = m_alive](PeerSession &session, bool lost) {
            if (!*alive) {
                return;
            }
            removeSession(session);
            if (lost) {
                scheduleFailureReport(session.peer());
            }
        };
        return hooks;
    }

    void removeSession(PeerSession &session)
    {
        const auto outgoing = m_outgoing.find(session.peer());
        if (outgoing != m_outgoing.end() && outgoing->second.get() == &session) {
            m_outgoing.erase(outgoing);
            return;
        }
        // A session that ends while it is opened may be removed twice: by its closed hook and by handleAccepted(). Only the
        // first removal may decrease m_incoming.
        const bool removed = m_otherSessions.erase(PeerSessionPtr(&session)) > 0;
        m_incoming -= removed && session.isReceiver() ? 1 : 0;
    }

    void scheduleFailureReport(const std::string &address)
    {
        m_loop.callAt(Clock::now(), [this, address, alive = m_alive] {
            if (*alive) {
                m_callbacks.failed(address);
            }
        });
    }

    // The sweep is scheduled only while there are sessions, so that an idle host is not woken.
    void scheduleSweep()
    {
        if (m_sweeping) {
            return;
        }
        m_sweeping = true;
        m_loop.callAt(Clock::now() + SweepPeriod, [this, alive = m_alive] {
            if (*alive) {
                m_sweeping = false;
                sweep();
            }
        });
    }

    void sweep()
    {
        std::vector<PeerSessionPtr> sessions(m_otherSessions.begin(), m_otherSessions.end());
        for (const auto &[address, session] : m_outgoing) {
            sessions.push_back(session);
        }
        const TimePoint now = Clock::now();
        for (const PeerSessionPtr &session : sessions) {
            const Duration sinceProgress = now - session->lastProgress();
            if (!session->isIdle() && sinceProgress > ProgressTimeout) {
                session->abort();
            } else if (sinceProgress > IdleTimeout + ProgressTimeout) {
                session->abort();
            } else if (sinceProgress > IdleTimeout) {
                session->closeGracefully();
            }
        }
        if (!m_outgoing.empty() || !m_otherSessions.empty()) {
            scheduleSweep();
        }
    }

    void stopListening()
    {
        if (m_acceptor.get_handle() != ACE_INVALID_HANDLE) {
            m_loop.reactor().remove_handler(m_acceptor.get_handle(), ACCEPT_MASK | DONT_CALL);
            m_acceptor.close();
        }
    }

    EventLoop &m_loop;
    std::string m_ownAddress;
    Callbacks m_callbacks;
    ACE_SOCK_Acceptor m_acceptor;
    // The session on which messages are sent, by peer address.
    std::map<std::string, PeerSessionPtr> m_outgoing;
    // Sessions of accepted connections, and outgoing sessions that are closing.
    std::set<PeerSessionPtr> m_otherSessions;
    std::size_t m_incoming = 0;
    bool m_sweeping = false;
    bool m_stopping = false;
    // False once the engine is destroyed; checked by callbacks that are still scheduled.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

PeerStreams::PeerStreams(EventLoop &loop, const std::string &listenAddress, Callbacks callbacks)
    : m_engine(std::make_unique<Engine>(loop, listenAddress, std::move(callbacks)))
{ }

PeerStreams::~PeerStreams() = default;

bool PeerStreams::send(const std::string &address, std::string bytes)
{
    return m_engine->send(address, std::move(bytes));
}

void PeerStreams::shutdown()
{
    m_engine->shutdown();
}
}
