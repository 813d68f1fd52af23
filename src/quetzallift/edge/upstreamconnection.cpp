#include "quetzallift/edge/upstreamconnection.h"

#include "quetzallift/edge/socketaddress.h"
#include "quetzallift/model/error.h"

#include <ace/Reactor.h>

#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

namespace Quetzallift
{
namespace
{
// Most responses fit into one read.
constexpr std::size_t ReadBufferSize = 16384;
// An idle connection is reused only within the searcher's keep-alive timeout divided by this, so that no request is sent
// while the searcher closes the connection.
constexpr int IdleTimeDivisor = 2;

ACE_HANDLE connectTo(const std::string &address)
{
    const sockaddr_in peer = parseAddress(address);
    const int handle = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (handle < 0) {
        return ACE_INVALID_HANDLE;
    }
    const int on = 1;
    setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (connect(handle, reinterpret_cast<const sockaddr *>(&peer), sizeof(peer)) != 0 && errno != EINPROGRESS) {
        close(handle);
        return ACE_INVALID_HANDLE;
    }
    return handle;
}
}

UpstreamConnection::UpstreamConnection(ACE_Reactor &reactor, ResponseBuffers &buffers, std::string searcher, std::string address, Hooks hooks)
    : m_reactor(reactor)
    , m_searcher(std::move(searcher))
    , m_address(std::move(address))
    , m_hooks(std::move(hooks))
    , m_buffered(buffers)
{ }

UpstreamConnection::~UpstreamConnection()
{
    closeSocket();
}

bool UpstreamConnection::open()
{
    try {
        m_handle = connectTo(m_address);
    } catch (const Error &) {
        // A searcher entry may hold an invalid address, which the caller handles like an unreachable one.
        m_handle = ACE_INVALID_HANDLE;
    }
    if (m_handle == ACE_INVALID_HANDLE) {
        return false;
    }
    m_outputWatched = true;
    return m_reactor.register_handler(this, ACE_Event_Handler::READ_MASK | ACE_Event_Handler::WRITE_MASK) == 0;
}

bool UpstreamConnection::send(AttemptId attempt, Encoder encode, TimePoint deadline, bool expectsBody)
{
    m_attempt = attempt;
    m_busy = true;
    m_encode = std::move(encode);
    m_deadline = deadline;
    m_output = {};
    m_written = 0;
    m_wholeWritten = false;
    m_requestedAt = Clock::now();
    m_reader.reset(expectsBody);
    if (m_handle == ACE_INVALID_HANDLE) {
        return open();
    }
    start();
    return true;
}

void UpstreamConnection::start()
{
    m_output = m_encode();
    m_encode = nullptr;
    flush();
}

void UpstreamConnection::closeSocket()
{
    m_buffered.release();
    releaseRequest();
    if (m_handle != ACE_INVALID_HANDLE) {
        m_reactor.remove_handler(this, ACE_Event_Handler::ALL_EVENTS_MASK | ACE_Event_Handler::DONT_CALL);
        close(m_handle);
        m_handle = ACE_INVALID_HANDLE;
    }
}

AttemptId UpstreamConnection::attempt() const
{
    return m_attempt;
}

const std::string &UpstreamConnection::searcher() const
{
    return m_searcher;
}

bool UpstreamConnection::isReusable() const
{
    return m_connected && !m_busy && m_persistent && Clock::now() < m_usableUntil;
}

ACE_HANDLE UpstreamConnection::get_handle() const
{
    return m_handle;
}

void UpstreamConnection::watchOutput(bool wanted)
{
    if (wanted == m_outputWatched) {
        return;
    }
    m_outputWatched = wanted;
    const auto operation = wanted ? ACE_Reactor::ADD_MASK : ACE_Reactor::CLR_MASK;
    m_reactor.mask_ops(this, ACE_Event_Handler::WRITE_MASK, operation);
}

void UpstreamConnection::flush()
{
    for (std::string_view rest = unwritten(); !rest.empty(); rest = unwritten()) {
        const ssize_t size = ::send(m_handle, rest.data(), rest.size(), MSG_NOSIGNAL);
        if (size < 0 && (errno == EAGAIN || errno == EINTR)) {
            watchOutput(true);
            return;
        }
        if (size < 0) {
            // What the searcher sent before it closed the connection is read first, since it may be a complete response.
            watchOutput(false);
            return;
        }
        if (m_written == 0) {
            m_hooks.started(Clock::now() - m_requestedAt);
        }
        m_written += static_cast<std::size_t>(size);
    }
    m_wholeWritten = true;
    releaseRequest();
    watchOutput(false);
}

std::string_view UpstreamConnection::unwritten() const
{
    const std::string_view head = m_output.head;
    if (m_written < head.size() || !m_output.content) {
        return head.substr(std::min(m_written, head.size()));
    }
    return std::string_view(m_output.content->body).substr(m_written - head.size());
}

void UpstreamConnection::releaseRequest()
{
    m_encode = nullptr;
    m_output = {};
}

int UpstreamConnection::handle_output(ACE_HANDLE)
{
    if (!m_connected) {
        int error = 0;
        socklen_t size = sizeof(error);
        getsockopt(m_handle, SOL_SOCKET, SO_ERROR, &error, &size);
        if (error != 0) {
            fail(FailureKind::ConnectionRefused, std::strerror(error));
            return 0;
        }
        m_connected = true;
        if (Clock::now() >= m_deadline) {
            fail(FailureKind::Timeout, "the time limit passed before the connection was established");
            return 0;
        }
        start();
        return 0;
    }
    flush();
    return 0;
}

int UpstreamConnection::handle_input(ACE_HANDLE)
{
    std::array<char, ReadBufferSize> buffer;
    const ssize_t size = recv(m_handle, buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (size < 0 && (errno == EAGAIN || errno == EINTR)) {
        return 0;
    }
    if (!m_busy) {
        m_hooks.closed(*this);
        return 0;
    }
    if (size < 0) {
        const FailureKind kind = m_connected ? FailureKind::ConnectionReset : FailureKind::ConnectionRefused;
        fail(kind, std::strerror(errno));
        return 0;
    }
    if (size == 0) {
        handleEndOfStream();
        return 0;
    }
    switch (m_reader.consume({buffer.data(), static_cast<std::size_t>(size)})) {
    case ResponseReader::State::Reading:
        if (!m_buffered.add(static_cast<std::size_t>(size))) {
            fail(FailureKind::BadReply, "the response is large, and the host holds too many bytes of responses");
        }
        break;
    case ResponseReader::State::Complete:
        finish();
        break;
    case ResponseReader::State::Invalid:
        fail(FailureKind::BadReply, m_reader.errorDescription());
        break;
    }
    return 0;
}

void UpstreamConnection::handleEndOfStream()
{
    m_persistent = false;
    if (m_reader.consumeEnd() == ResponseReader::State::Complete) {
        finish();
    } else {
        fail(FailureKind::ConnectionReset, "the searcher closed the connection before the response was complete");
    }
}

void UpstreamConnection::finish()
{
    m_busy = false;
    m_buffered.release();
    // A searcher that responded early still expects the rest of this request and would read another one as part of it.
    m_persistent = m_persistent && m_reader.isPersistent() && m_wholeWritten;
    if (const auto idleTimeout = m_reader.keepAliveTimeout()) {
        m_usableUntil = Clock::now() + *idleTimeout / IdleTimeDivisor;
    }
    m_hooks.replied(*this, m_reader.release());
}

void UpstreamConnection::fail(FailureKind kind, const std::string &detail)
{
    m_busy = false;
    m_persistent = false;
    m_hooks.failed(*this, Failure{m_connected ? Step::Wait : Step::Connect, m_searcher, kind, detail}, m_written > 0);
}
}
