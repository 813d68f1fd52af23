#include "tests/platform/crowd/crowd.h"

#include "quetzallift/edge/socketaddress.h"
#include "quetzallift/model/time.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

namespace Crowd
{
using namespace Quetzallift;

namespace
{
// How long a host may leave all connections unread until the clients stop to send.
constexpr std::chrono::milliseconds StallTimeout = std::chrono::seconds(2);
constexpr std::chrono::milliseconds ConnectTimeout = std::chrono::seconds(2);

constexpr int ClientWindow = 4096;

// Opens a connection that never blocks. Returns -1 if it is not established in time.
int openConnection(const std::string &address)
{
    const sockaddr_in peer = parseAddress(address);
    const int handle = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    // Clients that read nothing offer a small window.
    setsockopt(handle, SOL_SOCKET, SO_RCVBUF, &ClientWindow, sizeof(ClientWindow));
    connect(handle, reinterpret_cast<const sockaddr *>(&peer), sizeof(peer));
    pollfd event{handle, POLLOUT, 0};
    if (poll(&event, 1, static_cast<int>(ConnectTimeout.count())) != 1 || (event.revents & (POLLERR | POLLHUP)) != 0) {
        ::close(handle);
        return -1;
    }
    return handle;
}
}

Connections::Connections(const std::string &address, std::size_t count)
{
    for (std::size_t number = 0; number < count; ++number) {
        const int handle = openConnection(address);
        if (handle >= 0) {
            m_clients.push_back({handle, {}, 0, 0});
        }
    }
}

Connections::~Connections()
{
    for (Client &client : m_clients) {
        close(client);
    }
}

void Connections::finish()
{
    std::vector<char> buffer(65536);
    for (Client &client : m_clients) {
        shutdown(client.socket, SHUT_WR);
    }
    for (Client &client : m_clients) {
        pollfd event{client.socket, POLLIN, 0};
        while (poll(&event, 1, static_cast<int>(StallTimeout.count())) == 1 && recv(client.socket, buffer.data(), buffer.size(), 0) > 0) { }
        close(client);
    }
}

void Connections::reset()
{
    const linger discard{1, 0};
    for (Client &client : m_clients) {
        if (client.socket >= 0) {
            setsockopt(client.socket, SOL_SOCKET, SO_LINGER, &discard, sizeof(discard));
            close(client);
        }
    }
}

void Connections::send(const Content &content, std::size_t pieceSize)
{
    for (std::size_t number = 0; number < m_clients.size(); ++number) {
        m_clients[number].pending = content(number);
        m_clients[number].sent = 0;
        m_clients[number].remaining = m_clients[number].pending.size();
    }
    sendPieces(pieceSize);
}

void Connections::repeat(const std::string &bytes, std::size_t total)
{
    for (Client &client : m_clients) {
        client.pending = bytes;
        client.sent = 0;
        client.remaining = total;
    }
    sendPieces(bytes.size());
}

void Connections::sendPieces(std::size_t pieceSize)
{
    TimePoint lastProgress = Clock::now();
    while (Clock::now() - lastProgress < StallTimeout) {
        bool unfinished = false;
        for (Client &client : m_clients) {
            if (client.socket >= 0 && client.remaining > 0) {
                unfinished = true;
                if (sendPiece(client, pieceSize)) {
                    lastProgress = Clock::now();
                }
            }
        }
        if (!unfinished) {
            return;
        }
    }
}

bool Connections::sendPiece(Client &client, std::size_t pieceSize)
{
    const std::size_t offset = client.sent % client.pending.size();
    const std::size_t wanted = std::min({pieceSize, client.pending.size() - offset, client.remaining});
    const ssize_t size = ::send(client.socket, client.pending.data() + offset, wanted, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (size < 0 && errno == EAGAIN) {
        return false;
    }
    if (size < 0) {
        close(client);
        return true;
    }
    client.sent += static_cast<std::size_t>(size);
    client.remaining -= static_cast<std::size_t>(size);
    return true;
}

void Connections::close(Client &client)
{
    if (client.socket >= 0) {
        ::close(client.socket);
        client.socket = -1;
    }
    client.pending = {};
}
}
