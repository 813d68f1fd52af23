#pragma once

#include <ace/Event_Handler.h>

#include <functional>
#include <unordered_map>

namespace Quetzallift
{
// Notices that a peer closes its connection while the request is being worked on. libmicrohttpd does not look at the
// socket of a suspended connection, so that without this a cancellation would stay unseen until the response is sent.
class CloseWatch : public ACE_Event_Handler
{
public:
    explicit CloseWatch(ACE_Reactor &reactor);

    // Calls back once if the peer closes the connection before remove().
    void add(ACE_HANDLE socket, std::function<void()> closed);
    void remove(ACE_HANDLE socket);

    int handle_input(ACE_HANDLE socket) override;

private:
    ACE_Reactor &m_reactor;
    std::unordered_map<ACE_HANDLE, std::function<void()>> m_closed;
};
}
