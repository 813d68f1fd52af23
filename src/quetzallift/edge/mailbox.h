#pragma once

#include "quetzallift/core/event.h"

#include <ace/Event_Handler.h>

#include <functional>
#include <mutex>
#include <vector>

namespace Quetzallift
{
// A queue of events from any thread to the thread that runs the reactor. Posting an event wakes that thread.
class Mailbox : public ACE_Event_Handler
{
public:
    using Receiver = std::function<void(EventBody)>;

    explicit Mailbox(Receiver receiver);
    ~Mailbox() override;
    Mailbox(const Mailbox &) = delete;
    Mailbox &operator=(const Mailbox &) = delete;

    // Adds an event and wakes the receiving thread. Thread-safe.
    void post(EventBody event);

    ACE_HANDLE get_handle() const override;
    int handle_input(ACE_HANDLE handle) override;

private:
    Receiver m_receiver;
    ACE_HANDLE m_wakeup;
    std::mutex m_mutex;
    std::vector<EventBody> m_posted;
};
}
