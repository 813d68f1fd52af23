#include "quetzallift/edge/closewatch.h"

#include <ace/Reactor.h>

#include <sys/socket.h>

#include <cerrno>
#include <utility>

namespace Quetzallift
{
CloseWatch::CloseWatch(ACE_Reactor &reactor)
    : m_reactor(reactor)
{ }

void CloseWatch::add(ACE_HANDLE socket, std::function<void()> closed)
{
    if (m_reactor.register_handler(socket, this, ACE_Event_Handler::READ_MASK) == 0) {
        m_closedCallbacks[socket] = std::move(closed);
    }
}

void CloseWatch::remove(ACE_HANDLE socket)
{
    if (m_closedCallbacks.erase(socket) > 0) {
        m_reactor.remove_handler(socket, ACE_Event_Handler::READ_MASK | ACE_Event_Handler::DONT_CALL);
    }
}

int CloseWatch::handle_input(ACE_HANDLE socket)
{
    char byte = 0;
    const ssize_t size = recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (size < 0 && (errno == EAGAIN || errno == EINTR)) {
        return 0;
    }
    const auto found = m_closedCallbacks.find(socket);
    if (found == m_closedCallbacks.end()) {
        return 0;
    }
    const std::function<void()> closed = std::move(found->second);
    // The watch ends in any case, since unread data would wake the reactor repeatedly.
    remove(socket);
    if (size <= 0) {
        closed();
    }
    return 0;
}
}
