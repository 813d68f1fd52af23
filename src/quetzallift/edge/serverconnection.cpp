#include "quetzallift/edge/serverconnection.h"

#include "quetzallift/edge/eventloop.h"
#include "quetzallift/edge/httperror.h"
#include "quetzallift/edge/responsewriter.h"

#include <boost/beast/core/string.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <string_view>
#include <utility>

namespace Quetzallift
{
namespace
{
// Most requests fit into one read.
constexpr std::size_t ReadBufferSize = 16384;
// Bytes that a client may send ahead while a request is being answered; then nothing is read until the response is sent.
constexpr std::size_t MaximumReadAhead = 65536;
// The longest time from the first byte of a request to its last.
constexpr Duration RequestTimeout = std::chrono::minutes(5);
// How long a client may take to close a connection after its last response. Closing at once could discard that response
// while the client still sends.
constexpr Duration LingerTimeout = std::chrono::seconds(1);
// What is read and discarded in that time. A client that goes on sending then waits, and can still read the response.
constexpr std::size_t MaximumDiscarded = std::size_t{1024} * 1024;
// When a client may come back that was refused for lack of memory.
constexpr const char *RetryAfterMemory = "1";

constexpr unsigned StatusBadRequest = 400;
constexpr unsigned StatusRequestTimeout = 408;
constexpr unsigned StatusContentTooLarge = 413;
constexpr unsigned StatusHeadersTooLarge = 431;
constexpr unsigned StatusUnavailable = 503;

// The time since the kernel last received data on the socket; zero if the kernel does not report it.
Duration timeSinceLastData(ACE_HANDLE socket)
{
    tcp_info info{};
    socklen_t size = sizeof(info);
    const bool known = getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) == 0;
    return std::chrono::milliseconds(known ? info.tcpi_last_data_recv : 0);
}

bool closesConnection(const std::vector<Header> &headers)
{
    return std::any_of(headers.begin(), headers.end(), [](const Header &header) {
        return boost::beast::iequals(header.name, "Connection") && boost::beast::iequals(header.value, "close");
    });
}
}

ServerConnection::ServerConnection(EventLoop &loop, ACE_HANDLE socket, std::string peer, const ClientMemoryPtr &memory, const Hooks &hooks)
    : m_loop(loop)
    , m_socket(socket)
    , m_peer(std::move(peer))
    , m_hooks(hooks)
    , m_phaseSince(Clock::now())
    , m_lastActivity(m_phaseSince)
    , m_charge(memory)
{ }

ServerConnection::~ServerConnection()
{
    if (m_socket != ACE_INVALID_HANDLE) {
        ::close(m_socket);
    }
}

bool ServerConnection::start()
{
    return m_loop.reactor().register_handler(this, ACE_Event_Handler::READ_MASK) == 0;
}

void ServerConnection::close()
{
    if (m_socket == ACE_INVALID_HANDLE) {
        return;
    }
    if (const HttpExchangePtr exchange = std::exchange(m_exchange, nullptr)) {
        exchange->detach();
    }
    m_loop.reactor().remove_handler(this, ACE_Event_Handler::ALL_EVENTS_MASK | ACE_Event_Handler::DONT_CALL);
    ::close(m_socket);
    m_socket = ACE_INVALID_HANDLE;
    m_input = {};
    m_reader.reset();
    m_output = {};
    m_charge.setReclaim(nullptr);
    m_charge.resize(0);
    m_hooks.closed(*this);
}

const std::string &ServerConnection::peer() const
{
    return m_peer;
}

ServerConnection::Phase ServerConnection::phase() const
{
    return m_phase;
}

TimePoint ServerConnection::deadline() const
{
    const ClientLimits limits = m_hooks.limits();
    const TimePoint silentAt = m_lastActivity + limits.idleTimeout;
    switch (m_phase) {
    case Phase::Idle:
        return m_phaseSince + limits.idleTimeout;
    case Phase::Sending:
        return silentAt;
    case Phase::Receiving:
        return m_reader && m_reader->hasHead() ? std::min(silentAt, m_phaseSince + RequestTimeout) : m_phaseSince + limits.headerTimeout;
    case Phase::Serving:
    case Phase::Lingering:
        // Both have timers of their own.
        break;
    }
    return TimePoint::max();
}

void ServerConnection::handleDeadline()
{
    if (m_socket == ACE_INVALID_HANDLE) {
        return;
    }
    int unread = 0;
    if (m_phase != Phase::Sending && ioctl(m_socket, FIONREAD, &unread) == 0 && unread > 0) {
        // The bytes came in time, and this host is late.
        return;
    }
    if (m_phase == Phase::Receiving) {
        refuse(StatusRequestTimeout, ClientRejection::TooSlow, "the request was not received in time");
        return;
    }
    if (m_phase == Phase::Sending) {
        dropAnswer();
        return;
    }
    close();
}

void ServerConnection::closeForAnother()
{
    m_hooks.rejected(ClientRejection::Connections);
    close();
}

void ServerConnection::enter(Phase phase)
{
    if (m_socket == ACE_INVALID_HANDLE) {
        return;
    }
    m_phase = phase;
    m_phaseSince = Clock::now();
    updateReclaim();
    m_hooks.phaseChanged(*this);
}

void ServerConnection::updateReclaim()
{
    if (m_phase == Phase::Receiving) {
        m_charge.setReclaim([this] {
            refuseForMemory();
        });
    } else if (m_phase == Phase::Sending) {
        m_charge.setReclaim([this] {
            dropAnswer();
        });
    } else {
        m_charge.setReclaim(nullptr);
    }
}

bool ServerConnection::charge()
{
    return m_charge.resize(m_input.capacity() + (m_reader ? m_reader->memory() : 0) + m_output.capacity());
}

ACE_HANDLE ServerConnection::get_handle() const
{
    return m_socket;
}

int ServerConnection::handle_input(ACE_HANDLE)
{
    std::array<char, ReadBufferSize> buffer;
    const ssize_t size = recv(m_socket, buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (size < 0 && (errno == EAGAIN || errno == EINTR)) {
        return 0;
    }
    if (size <= 0) {
        handleClientClose(size == 0);
        return 0;
    }
    m_lastActivity = Clock::now();
    if (m_phase == Phase::Lingering) {
        discard(static_cast<std::size_t>(size));
        return 0;
    }
    m_input.append(buffer.data(), static_cast<std::size_t>(size));
    if (m_exchange || !m_output.empty()) {
        readAhead();
    } else {
        readRequests();
    }
    return 0;
}

void ServerConnection::readAhead()
{
    const bool hasRoom = charge() && m_input.size() < MaximumReadAhead;
    watch(ACE_Event_Handler::READ_MASK, m_inputWatched, hasRoom);
}

void ServerConnection::discard(std::size_t size)
{
    m_discarded += size;
    watch(ACE_Event_Handler::READ_MASK, m_inputWatched, m_discarded < MaximumDiscarded);
}

int ServerConnection::handle_output(ACE_HANDLE)
{
    flush();
    return 0;
}

void ServerConnection::handleClientClose(bool inOrder)
{
    if (inOrder && !m_output.empty()) {
        // The client may still read the response.
        m_keepAlive = false;
        m_inputEnded = true;
        watch(ACE_Event_Handler::READ_MASK, m_inputWatched, false);
        return;
    }
    if (m_exchange) {
        m_exchange->reportClosed();
    }
    close();
}

void ServerConnection::readRequests()
{
    m_reading = true;
    bool incomplete = false;
    while (m_socket != ACE_INVALID_HANDLE && !m_exchange && m_output.empty() && m_phase != Phase::Lingering && !m_input.empty() && !incomplete) {
        if (!m_reader) {
            m_limits = m_hooks.limits();
            m_reader.emplace(m_limits.headerBytes, m_limits.bodyBytes);
            m_waited = timeSinceLastData(m_socket);
            m_continueSent = false;
        }
        switch (m_reader->consume(m_input)) {
        case RequestReader::State::Reading:
            incomplete = true;
            readMore();
            break;
        case RequestReader::State::Complete:
            beginExchange();
            break;
        case RequestReader::State::Invalid:
            refuse(StatusBadRequest, ClientRejection::Invalid, "the request cannot be read: " + m_reader->errorDescription());
            break;
        case RequestReader::State::HeadTooLarge:
            refuse(StatusHeadersTooLarge, ClientRejection::HeadTooLarge, "the request line, the headers and the framing of the body exceed the limit");
            break;
        case RequestReader::State::BodyTooLarge:
            refuse(
                StatusContentTooLarge, ClientRejection::BodyTooLarge, "the request body exceeds the limit of " + std::to_string(m_limits.bodyBytes) + " bytes");
            break;
        }
    }
    m_reading = false;
}

void ServerConnection::readMore()
{
    if (m_input.empty()) {
        m_input = {};
    }
    if (!m_reader->hasBegun()) {
        m_reader.reset();
        return;
    }
    if (m_phase != Phase::Receiving) {
        enter(Phase::Receiving);
    }
    if (!charge()) {
        refuseForMemory();
        return;
    }
    sendContinue();
}

void ServerConnection::refuseForMemory()
{
    refuse(StatusUnavailable, ClientRejection::Memory, "this host holds too many bytes of unfinished requests");
}

void ServerConnection::sendContinue()
{
    constexpr std::string_view Continue = "HTTP/1.1 100 Continue\r\n\r\n";
    if (m_reader->expectsContinue() && !m_continueSent) {
        m_continueSent = true;
        // A client that does not receive it sends the body after a while.
        [[maybe_unused]] const ssize_t size = send(m_socket, Continue.data(), Continue.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    }
}

void ServerConnection::beginExchange()
{
    if (m_input.empty()) {
        m_input = {};
    }
    if (!charge()) {
        refuseForMemory();
        return;
    }
    LifetimePtr memory = m_charge.split(m_reader->memory());
    HttpServerRequest request = m_reader->release();
    m_reader.reset();
    m_keepAlive = request.keepAlive;
    m_isHttp10 = request.isHttp10;
    m_exchange = new HttpExchange(*this, std::move(request), m_waited, std::move(memory));
    enter(Phase::Serving);
    m_hooks.requested(HttpExchangePtr(m_exchange));
}

void ServerConnection::finishExchange()
{
    const HttpExchangePtr exchange = std::exchange(m_exchange, nullptr);
    exchange->detach();
    if (exchange->isDropped()) {
        close();
        return;
    }
    sendResponse(exchange->response(), exchange->method());
}

void ServerConnection::refuse(unsigned status, ClientRejection rejection, const std::string &reason)
{
    m_reader.reset();
    m_input = {};
    m_keepAlive = false;
    m_hooks.rejected(rejection);
    HttpServerResponse response{status, {{"Content-Type", "application/json"}}, encodeHttpError(Step::Admit, m_peer, reason)};
    if (status == StatusUnavailable) {
        response.headers.push_back({"Retry-After", RetryAfterMemory});
    }
    sendResponse(response, {});
}

void ServerConnection::sendResponse(const HttpServerResponse &response, const std::string &method)
{
    m_keepAlive = m_keepAlive && !closesConnection(response.headers);
    const AfterResponse keptAlive = m_isHttp10 ? AfterResponse::KeepAliveHttp10 : AfterResponse::KeepAlive;
    m_output = writeResponse(response, method, m_keepAlive ? keptAlive : AfterResponse::Close);
    m_written = 0;
    flush();
}

void ServerConnection::flush()
{
    while (m_written < m_output.size()) {
        const ssize_t size = ::send(m_socket, m_output.data() + m_written, m_output.size() - m_written, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (size < 0 && (errno == EAGAIN || errno == EINTR)) {
            awaitReading();
            return;
        }
        if (size < 0) {
            close();
            return;
        }
        m_written += static_cast<std::size_t>(size);
        m_lastActivity = Clock::now();
    }
    watch(ACE_Event_Handler::WRITE_MASK, m_outputWatched, false);
    finishResponse();
}

void ServerConnection::awaitReading()
{
    watch(ACE_Event_Handler::WRITE_MASK, m_outputWatched, true);
    if (m_phase != Phase::Sending) {
        enter(Phase::Sending);
    }
    if (!charge()) {
        dropAnswer();
    }
}

void ServerConnection::dropAnswer()
{
    m_hooks.rejected(ClientRejection::AnswerNotRead);
    close();
}

void ServerConnection::finishResponse()
{
    m_output = {};
    if (!m_keepAlive) {
        linger();
        return;
    }
    enter(Phase::Idle);
    charge();
    watch(ACE_Event_Handler::READ_MASK, m_inputWatched, true);
    if (!m_input.empty() && !m_reading) {
        // From the loop: the effects of the event that led to the response are still being executed.
        m_loop.callAt(Clock::now(), [self = ServerConnectionPtr(this)] {
            self->readRequests();
        });
    }
}

void ServerConnection::linger()
{
    if (m_inputEnded) {
        close();
        return;
    }
    shutdown(m_socket, SHUT_WR);
    enter(Phase::Lingering);
    m_input = {};
    charge();
    watch(ACE_Event_Handler::READ_MASK, m_inputWatched, true);
    m_loop.callAt(Clock::now() + LingerTimeout, [self = ServerConnectionPtr(this)] {
        self->close();
    });
}

void ServerConnection::watch(ACE_Reactor_Mask event, bool &watched, bool wanted)
{
    if (watched == wanted) {
        return;
    }
    const bool wasRegistered = m_inputWatched || m_outputWatched;
    watched = wanted;
    if (!m_inputWatched && !m_outputWatched) {
        // ACE's reactor does not remove a handler that is registered for no event, and calls it for the socket's next owner.
        m_loop.reactor().remove_handler(this, ACE_Event_Handler::ALL_EVENTS_MASK | ACE_Event_Handler::DONT_CALL);
    } else if (!wasRegistered) {
        m_loop.reactor().register_handler(this, event);
    } else {
        m_loop.reactor().mask_ops(this, event, wanted ? ACE_Reactor::ADD_MASK : ACE_Reactor::CLR_MASK);
    }
}
}
