#include "quetzallift/edge/peersession.h"

#include "quetzallift/edge/internal/peersessioncallbacks.h"

#include <ace/Reactor.h>

#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <utility>

namespace Quetzallift
{
namespace
{
// Limits of the messages queued for one peer; send() returns false beyond them.
constexpr std::size_t MaximumQueuedMessages = 64;
constexpr std::size_t MaximumQueuedBytes = 4U * 1024U * 1024U;
constexpr std::size_t ReadBufferSize = 64U * 1024U;

nghttp2_nv header(std::string_view name, std::string_view value)
{
    auto *nameBytes = const_cast<std::uint8_t *>(reinterpret_cast<const std::uint8_t *>(name.data()));
    auto *valueBytes = const_cast<std::uint8_t *>(reinterpret_cast<const std::uint8_t *>(value.data()));
    return {nameBytes, valueBytes, name.size(), value.size(), NGHTTP2_NV_FLAG_NONE};
}
}

PeerSession::PeerSession(ACE_Reactor &theReactor, const ACE_SOCK_Stream &socket, PeerSide side, std::string peer, std::string ownAddress, Hooks hooks)
    : ACE_Event_Handler(&theReactor)
    , m_socket(socket)
    , m_side(side)
    , m_peer(std::move(peer))
    , m_ownAddress(std::move(ownAddress))
    , m_hooks(std::move(hooks))
    , m_session(PeerSessionCallbacks::makeSession(*this, side))
    , m_connecting(side == PeerSide::Sender)
{
    reference_counting_policy().value(ACE_Event_Handler::Reference_Counting_Policy::ENABLED);
}

PeerSession::~PeerSession()
{
    m_socket.close();
}

bool PeerSession::open()
{
    const ACE_Reactor_Mask mask = READ_MASK | (m_connecting ? WRITE_MASK : NULL_MASK);
    m_watchingWritable = m_connecting;
    if (!m_session || reactor()->register_handler(this, mask) != 0) {
        m_closed = true;
        return false;
    }
    if (!m_connecting) {
        flush();
    }
    return !m_closed;
}

bool PeerSession::send(std::string bytes)
{
    if (!acceptsMessages() || bytes.size() > MaximumPeerMessageSize || m_queuedBytes + bytes.size() > MaximumQueuedBytes) {
        return false;
    }
    const std::array<nghttp2_nv, 5> headers = {
        header(":method", "POST"),
        header(":scheme", "http"),
        header(":path", "/v1/peer"),
        header(":authority", m_peer),
        header(PeerSessionCallbacks::FromHeader, m_ownAddress),
    };
    nghttp2_data_provider provider{{0}, &PeerSessionCallbacks::readBody};
    const std::int32_t stream = nghttp2_submit_request(m_session.get(), nullptr, headers.data(), headers.size(), &provider, nullptr);
    if (stream < 0) {
        return false;
    }
    if (m_messages.empty()) {
        m_lastProgress = Clock::now();
    }
    m_queuedBytes += bytes.size();
    m_messages[stream] = {{}, std::move(bytes), 0};
    if (!m_connecting) {
        // The socket is written from the reactor, so that no hook is called during send().
        watchWritable(true);
    }
    return true;
}

void PeerSession::closeGracefully()
{
    if (m_closed || std::exchange(m_goingAway, true)) {
        return;
    }
    m_goawayPending = true;
    if (m_connecting && m_messages.empty()) {
        abort();
    } else if (!m_connecting) {
        flush();
    }
}

// A sender submits GOAWAY after its last message: nghttp2 writes GOAWAY before queued requests, and the receiver would
// close the connection before those requests are sent. A receiver submits GOAWAY immediately.
void PeerSession::submitGoawayWhenDue()
{
    const bool due = m_side == PeerSide::Receiver || m_messages.empty();
    if (m_goawayPending && due) {
        m_goawayPending = false;
        nghttp2_submit_goaway(m_session.get(), NGHTTP2_FLAG_NONE, nghttp2_session_get_last_proc_stream_id(m_session.get()), NGHTTP2_NO_ERROR, nullptr, 0);
    }
}

void PeerSession::abort()
{
    if (std::exchange(m_closed, true)) {
        return;
    }
    const PeerSessionPtr keep(this);
    reactor()->remove_handler(this, ALL_EVENTS_MASK | DONT_CALL);
    m_socket.close();
    const bool lost = m_side == PeerSide::Sender && (m_messageLost || !m_messages.empty());
    m_hooks.closed(*this, lost);
}

const std::string &PeerSession::peer() const
{
    return m_peer;
}

bool PeerSession::acceptsMessages() const
{
    return m_side == PeerSide::Sender && !m_closed && !m_goingAway && m_messages.size() < MaximumQueuedMessages;
}

bool PeerSession::isReceiver() const
{
    return m_side == PeerSide::Receiver;
}

bool PeerSession::isGoingAway() const
{
    return m_goingAway;
}

bool PeerSession::isIdle() const
{
    return m_messages.empty();
}

TimePoint PeerSession::lastProgress() const
{
    return m_lastProgress;
}

ACE_HANDLE PeerSession::get_handle() const
{
    return m_socket.get_handle();
}

int PeerSession::handle_input(ACE_HANDLE)
{
    const PeerSessionPtr keep(this);
    std::array<std::uint8_t, ReadBufferSize> buffer{};
    const ssize_t count = m_socket.recv(buffer.data(), buffer.size());
    if (count < 0 && (errno == EWOULDBLOCK || errno == EINTR)) {
        return 0;
    }
    if (count <= 0 || nghttp2_session_mem_recv(m_session.get(), buffer.data(), static_cast<std::size_t>(count)) < 0) {
        abort();
        return 0;
    }
    m_lastProgress = Clock::now();
    deliverMessages();
    if (m_messageLost) {
        abort();
    }
    flush();
    return 0;
}

int PeerSession::handle_output(ACE_HANDLE)
{
    const PeerSessionPtr keep(this);
    if (m_connecting && !hasConnectSucceeded()) {
        m_messageLost = true;
        abort();
        return 0;
    }
    m_connecting = false;
    flush();
    return 0;
}

int PeerSession::handle_close(ACE_HANDLE, ACE_Reactor_Mask)
{
    abort();
    return 0;
}

bool PeerSession::hasConnectSucceeded()
{
    int error = 0;
    int size = sizeof error;
    return m_socket.get_option(SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0;
}

// Writes the rest of the last frames. Returns false if the socket buffer is full or the socket failed.
bool PeerSession::writePending()
{
    while (!m_output.empty()) {
        const ssize_t count = ::send(m_socket.get_handle(), m_output.data(), m_output.size(), MSG_NOSIGNAL);
        if (count < 0) {
            if (errno != EWOULDBLOCK && errno != EINTR) {
                abort();
            }
            return false;
        }
        m_output.erase(0, static_cast<std::size_t>(count));
    }
    return true;
}

void PeerSession::flush()
{
    submitGoawayWhenDue();
    while (!m_closed && writePending()) {
        const std::uint8_t *data = nullptr;
        const ssize_t size = nghttp2_session_mem_send(m_session.get(), &data);
        if (size < 0) {
            abort();
            return;
        }
        if (size == 0) {
            break;
        }
        m_output.assign(reinterpret_cast<const char *>(data), static_cast<std::size_t>(size));
    }
    if (m_closed) {
        return;
    }
    if (nghttp2_session_want_read(m_session.get()) == 0 && nghttp2_session_want_write(m_session.get()) == 0 && m_output.empty()) {
        abort();
        return;
    }
    watchWritable(!m_output.empty());
}

void PeerSession::deliverMessages()
{
    std::vector<ReceivedMessage> messages;
    messages.swap(m_received);
    for (ReceivedMessage &message : messages) {
        m_hooks.received(message.from, std::move(message.bytes));
    }
}

void PeerSession::watchWritable(bool wanted)
{
    if (wanted == m_watchingWritable) {
        return;
    }
    m_watchingWritable = wanted;
    if (wanted) {
        reactor()->schedule_wakeup(this, WRITE_MASK);
    } else {
        reactor()->cancel_wakeup(this, WRITE_MASK);
    }
}

void PeerSession::removeMessage(std::int32_t stream)
{
    const auto found = m_messages.find(stream);
    if (found == m_messages.end()) {
        return;
    }
    m_queuedBytes -= found->second.bytes.size();
    m_messages.erase(found);
}

// Rejects a message whose sender address has another IP address than the connection, so that no host can send messages in
// the name of another one.
bool PeerSession::isSenderAllowed(const std::string &from) const
{
    return from.substr(0, from.rfind(':')) == m_peer.substr(0, m_peer.rfind(':'));
}
}
