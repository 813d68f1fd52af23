#pragma once

#include <ace/Event_Handler.h>

#include <functional>
#include <unordered_map>

namespace Quetzallift
{
// Detects that a client closes its connection while the request is processed. libmicrohttpd does not poll the socket of a
// suspended connection, so that without this a cancellation would be noticed only when the response is sent.
class CloseWatch : public ACE_Event_Handler
{
public:
    explicit CloseWatch(ACE_Reactor &reactor);

    // Calls the callback once if the client closes the connection before remove(). Watching ends without a call if the
    // client sends data first, since unread data would wake the reactor repeatedly.
    void add(ACE_HANDLE socket, std::function<void()> closed);
    void remove(ACE_HANDLE socket);

    int handle_input(ACE_HANDLE socket) override;

private:
    ACE_Reactor &m_reactor;
    std::unordered_map<ACE_HANDLE, std::function<void()>> m_closedCallbacks;
};
}
