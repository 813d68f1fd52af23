#include "quetzallift/edge/mailbox.h"

#include "quetzallift/model/error.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <utility>

namespace Quetzallift
{
Mailbox::Mailbox(Receiver receiver)
    : m_receiver(std::move(receiver))
    , m_wakeup(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
    if (m_wakeup < 0) {
        throw Error(Step::Settings, "mailbox", "cannot create an event descriptor with eventfd()");
    }
}

Mailbox::~Mailbox()
{
    close(m_wakeup);
}

void Mailbox::post(EventBody event)
{
    bool wasEmpty = false;
    {
        const std::lock_guard lock(m_mutex);
        wasEmpty = m_posted.empty();
        m_posted.push_back(std::move(event));
    }
    if (wasEmpty) {
        eventfd_write(m_wakeup, 1);
    }
}

ACE_HANDLE Mailbox::get_handle() const
{
    return m_wakeup;
}

int Mailbox::handle_input(ACE_HANDLE)
{
    eventfd_t count = 0;
    eventfd_read(m_wakeup, &count);
    std::vector<EventBody> events;
    {
        const std::lock_guard lock(m_mutex);
        events.swap(m_posted);
    }
    for (EventBody &event : events) {
        m_receiver(std::move(event));
    }
    return 0;
}
}
