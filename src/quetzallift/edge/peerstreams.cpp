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
// Bounds of open connections: a host talks to few peers a second, whatever the size of the fleet.
constexpr std::size_t MaximumOutgoing = 128;
constexpr std::size_t MaximumIncoming = 512;
constexpr Duration SweepPeriod = std::chrono::milliseconds(250);
// A connection is given up if it is not made, or its messages not acknowledged, within this time.
constexpr Duration ProgressLimit = std::chrono::seconds(2);
constexpr Duration IdleLimit = std::chrono::seconds(30);

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
        , m_self(listenAddress)
        , m_callbacks(std::move(callbacks))
    {
        if (m_acceptor.open(toAceAddress(listenAddress), 1) != 0) {
            throw Error(Step::Settings, listenAddress, "the peer address cannot be listened on");
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
        const auto others = m_others;
        for (const PeerSessionPtr &session : others) {
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
            m_others.insert(found->second);
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
        const auto others = m_others;
        for (const PeerSessionPtr &session : others) {
            session->closeGracefully();
        }
    }

    int handle_input(ACE_HANDLE) override
    {
        ACE_SOCK_Stream socket;
        ACE_INET_Addr remote;
        while (m_acceptor.accept(socket, &remote, nullptr, false) == 0) {
            accepted(socket, remote);
        }
        return 0;
    }

private:
    void accepted(ACE_SOCK_Stream &socket, const ACE_INET_Addr &remote)
    {
        if (m_incoming >= MaximumIncoming) {
            socket.close();
            return;
        }
        prepareSocket(socket);
        const std::string peer = formatAddress(*static_cast<const sockaddr *>(remote.get_addr()));
        const PeerSessionPtr session(new PeerSession(m_loop.reactor(), socket, PeerSide::Receiver, peer, m_self, hooks()), false);
        ++m_incoming;
        m_others.insert(session);
        if (!session->open()) {
            removeSession(*session);
        }
        sweepLater();
    }

    // Opens a connection without waiting for it. Null if the bound is reached or the system refuses at once.
    PeerSessionPtr connect(const std::string &address)
    {
        if (m_outgoing.size() >= MaximumOutgoing && !closeLeastRecentlyUsed()) {
            return {};
        }
        ACE_SOCK_Stream socket;
        ACE_SOCK_Connector connector;
        // Messages may only speak for the address they come from, hence the local address is the listening one.
        ACE_INET_Addr local = toAceAddress(m_self);
        local.set_port_number(0);
        const int connected = connector.connect(socket, toAceAddress(address), &ACE_Time_Value::zero, local);
        if (connected != 0 && errno != EWOULDBLOCK && errno != EINPROGRESS) {
            socket.close();
            reportLater(address);
            return {};
        }
        prepareSocket(socket);
        PeerSessionPtr session(new PeerSession(m_loop.reactor(), socket, PeerSide::Sender, address, m_self, hooks()), false);
        if (!session->open()) {
            reportLater(address);
            return {};
        }
        m_outgoing[address] = session;
        sweepLater();
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
        m_others.insert(oldest);
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
                reportLater(session.peer());
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
        // A session that ends while it is opened is removed by its hook and by who opened it.
        const bool known = m_others.erase(PeerSessionPtr(&session)) > 0;
        m_incoming -= known && session.isReceiver() ? 1 : 0;
    }

    void reportLater(const std::string &address)
    {
        m_loop.callAt(Clock::now(), [this, address, alive = m_alive] {
            if (*alive) {
                m_callbacks.failed(address);
            }
        });
    }

    // The sweep runs only while there are sessions, so that an idle host is not woken.
    void sweepLater()
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
        std::vector<PeerSessionPtr> all(m_others.begin(), m_others.end());
        for (const auto &[address, session] : m_outgoing) {
            all.push_back(session);
        }
        const TimePoint now = Clock::now();
        for (const PeerSessionPtr &session : all) {
            const Duration quiet = now - session->lastProgress();
            if (!session->isIdle() && quiet > ProgressLimit) {
                session->abort();
            } else if (quiet > IdleLimit + ProgressLimit) {
                session->abort();
            } else if (quiet > IdleLimit) {
                session->closeGracefully();
            }
        }
        if (!m_outgoing.empty() || !m_others.empty()) {
            sweepLater();
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
    std::string m_self;
    Callbacks m_callbacks;
    ACE_SOCK_Acceptor m_acceptor;
    // The connection to use for each peer address.
    std::map<std::string, PeerSessionPtr> m_outgoing;
    // Accepted connections, and outgoing ones that are closing.
    std::set<PeerSessionPtr> m_others;
    std::size_t m_incoming = 0;
    bool m_sweeping = false;
    bool m_stopping = false;
    // False once the engine is gone, for callbacks that are still set.
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
