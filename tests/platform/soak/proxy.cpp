#include "tests/platform/soak/proxy.h"

#include "quetzallift/edge/socketaddress.h"
#include "quetzallift/model/error.h"

#include <ace/Event_Handler.h>

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <deque>

namespace Soak
{
using namespace Quetzallift;

namespace
{
constexpr std::size_t ReadSize = 65536;
constexpr int Backlog = 512;
}

class Proxy::Acceptor : public ACE_Event_Handler
{
public:
    Acceptor(Proxy &proxy, const std::string &address)
        : m_proxy(proxy)
        , m_handle(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0))
    {
        const sockaddr_in local = parseAddress(address);
        const int on = 1;
        setsockopt(m_handle, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        if (bind(m_handle, reinterpret_cast<const sockaddr *>(&local), sizeof(local)) != 0 || listen(m_handle, Backlog) != 0) {
            throw Error(Step::Settings, address, "the proxy cannot listen on this address");
        }
        m_proxy.m_loop.reactor().register_handler(this, READ_MASK);
    }

    ~Acceptor() override
    {
        m_proxy.m_loop.reactor().remove_handler(this, READ_MASK | DONT_CALL);
        ::close(m_handle);
    }

    Acceptor(const Acceptor &) = delete;
    Acceptor &operator=(const Acceptor &) = delete;

    ACE_HANDLE get_handle() const override
    {
        return m_handle;
    }

    int handle_input(ACE_HANDLE) override
    {
        const int accepted = accept4(m_handle, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (accepted >= 0) {
            m_proxy.accept(accepted);
        }
        return 0;
    }

private:
    Proxy &m_proxy;
    int m_handle;
};

// One socket of a pipe, and the bytes that came from it and wait to go out at the other side.
class Proxy::Side : public ACE_Event_Handler
{
public:
    struct Chunk {
        TimePoint due;
        std::string bytes;
        // The end of the stream, or its failure, which follow the bytes before them.
        bool end = false;
        bool abrupt = false;
    };

    Side(Proxy &proxy, Pipe &pipe, int handle, bool client)
        : m_proxy(proxy)
        , m_pipe(pipe)
        , m_handle(handle)
        , m_client(client)
    {
        setMask(READ_MASK);
    }

    ~Side() override
    {
        shut(false);
    }

    Side(const Side &) = delete;
    Side &operator=(const Side &) = delete;

    void shut(bool abruptly)
    {
        if (m_handle < 0) {
            return;
        }
        setMask(NULL_MASK);
        if (abruptly) {
            const linger now{1, 0};
            setsockopt(m_handle, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
        }
        ::close(m_handle);
        m_handle = -1;
    }

    ACE_HANDLE get_handle() const override
    {
        return m_handle;
    }

    int handle_input(ACE_HANDLE) override
    {
        m_proxy.receive(*this);
        return 0;
    }

    int handle_output(ACE_HANDLE) override;

    void stopReading()
    {
        setMask(m_mask & ~READ_MASK);
    }

    void watchOutput(bool wanted)
    {
        setMask(wanted ? m_mask | WRITE_MASK : m_mask & ~WRITE_MASK);
    }

    Pipe &pipe()
    {
        return m_pipe;
    }

    bool isClient() const
    {
        return m_client;
    }

    std::deque<Chunk> chunks;

private:
    // A handler whose last event is cleared with mask_ops() stays in ACE's table for good, so that it is removed instead.
    void setMask(ACE_Reactor_Mask mask)
    {
        ACE_Reactor &reactor = m_proxy.m_loop.reactor();
        if (mask == m_mask) {
            return;
        }
        if (mask == NULL_MASK) {
            reactor.remove_handler(this, ALL_EVENTS_MASK | DONT_CALL);
        } else if (m_mask == NULL_MASK) {
            reactor.register_handler(this, mask);
        } else {
            reactor.mask_ops(this, mask, ACE_Reactor::SET_MASK);
        }
        m_mask = mask;
    }

    Proxy &m_proxy;
    Pipe &m_pipe;
    int m_handle;
    ACE_Reactor_Mask m_mask = NULL_MASK;
    bool m_client;
};

struct Proxy::Pipe {
    std::unique_ptr<Side> client;
    std::unique_ptr<Side> server;
    bool closed = false;

    Side &opposite(const Side &side)
    {
        return &side == client.get() ? *server : *client;
    }
};

int Proxy::Side::handle_output(ACE_HANDLE)
{
    // Room at this socket lets the bytes of the other one go on.
    m_proxy.pump(m_pipe.opposite(*this));
    return 0;
}

Proxy::Proxy(EventLoop &loop, const std::string &listenAddress, std::string target)
    : m_loop(loop)
    , m_target(std::move(target))
    , m_acceptor(std::make_unique<Acceptor>(*this, listenAddress))
{ }

Proxy::~Proxy()
{
    *m_alive = false;
}

void Proxy::accept(int handle)
{
    const sockaddr_in target = parseAddress(m_target);
    const int opposite = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const bool connecting = connect(opposite, reinterpret_cast<const sockaddr *>(&target), sizeof(target)) == 0 || errno == EINPROGRESS;
    Pipe &pipe = *m_pipes.emplace_back(std::make_unique<Pipe>());
    pipe.client = std::make_unique<Side>(*this, pipe, handle, true);
    pipe.server = std::make_unique<Side>(*this, pipe, opposite, false);
    if (!connecting) {
        close(pipe, true);
    }
}

bool Proxy::holds(const Side &side) const
{
    const LinkCondition held = side.isClient() ? LinkCondition::HoldsRequests : LinkCondition::HoldsReplies;
    return m_condition == LinkCondition::Silent || m_condition == held;
}

void Proxy::receive(Side &side)
{
    std::array<char, ReadSize> buffer;
    const ssize_t size = recv(side.get_handle(), buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (size < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    Side::Chunk chunk;
    chunk.due = Clock::now() + m_delay;
    chunk.end = size <= 0;
    chunk.abrupt = size < 0;
    if (size > 0) {
        chunk.bytes.assign(buffer.data(), static_cast<std::size_t>(size));
    } else {
        side.stopReading();
    }
    side.chunks.push_back(std::move(chunk));
    pump(side);
}

void Proxy::pump(Side &side)
{
    Pipe &pipe = side.pipe();
    Side &opposite = pipe.opposite(side);
    while (!pipe.closed && !side.chunks.empty() && !holds(side)) {
        Side::Chunk &chunk = side.chunks.front();
        if (chunk.due > Clock::now()) {
            m_loop.callAt(chunk.due, [this, &side, &pipe, alive = m_alive] {
                if (*alive && !pipe.closed) {
                    pump(side);
                }
            });
            return;
        }
        if (chunk.end) {
            close(pipe, chunk.abrupt);
            return;
        }
        const ssize_t sent = send(opposite.get_handle(), chunk.bytes.data(), chunk.bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent < 0 && errno == EAGAIN) {
            opposite.watchOutput(true);
            return;
        }
        if (sent < 0) {
            close(pipe, true);
            return;
        }
        chunk.bytes.erase(0, static_cast<std::size_t>(sent));
        if (chunk.bytes.empty()) {
            side.chunks.pop_front();
        }
    }
    if (!pipe.closed && side.chunks.empty()) {
        opposite.watchOutput(false);
    }
}

void Proxy::close(Pipe &pipe, bool abruptly)
{
    if (pipe.closed) {
        return;
    }
    // The pipe itself stays until the proxy ends: calls of the reactor and of timers may still refer to it.
    pipe.closed = true;
    pipe.client->shut(abruptly);
    pipe.server->shut(abruptly);
}

void Proxy::setCondition(LinkCondition condition)
{
    m_condition = condition;
    for (const auto &pipe : m_pipes) {
        pump(*pipe->client);
        pump(*pipe->server);
    }
}

void Proxy::setDelay(Duration delay)
{
    m_delay = delay;
}

void Proxy::reset()
{
    for (const auto &pipe : m_pipes) {
        close(*pipe, true);
    }
}
}
