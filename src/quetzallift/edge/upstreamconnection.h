#pragma once

#include "quetzallift/edge/responsereader.h"
#include "quetzallift/model/failure.h"
#include "quetzallift/model/ids.h"
#include "quetzallift/model/time.h"

#include <ace/Event_Handler.h>
#include <boost/intrusive/list.hpp>

#include <functional>
#include <string>

class ACE_Reactor;

namespace Quetzallift
{
// One connection to a searcher. It carries one request at a time, and never sends a request twice.
class UpstreamConnection : public ACE_Event_Handler
{
public:
    // What a connection tells its owner; each call may be the last one before the owner retires the connection.
    struct Hooks {
        // A whole response came. The connection is idle again if it may be used for another request.
        std::function<void(UpstreamConnection &, UpstreamResponse)> replied;
        // The request ended without a response. False for `sent` only if no byte of it left this host.
        std::function<void(UpstreamConnection &, Failure, bool sent)> failed;
        // The peer closed an idle connection, or sent bytes that belong to no request.
        std::function<void(UpstreamConnection &)> closed;
    };

    UpstreamConnection(ACE_Reactor &reactor, std::string searcher, std::string address, Hooks hooks);
    ~UpstreamConnection() override;
    UpstreamConnection(const UpstreamConnection &) = delete;
    UpstreamConnection &operator=(const UpstreamConnection &) = delete;

    // Opens the connection if it is not open yet and sends a request. Returns false if the system gives no socket.
    bool send(AttemptId attempt, std::string request, bool expectsBody);

    // Closes the socket without telling the owner.
    void shut();

    AttemptId attempt() const;
    const std::string &searcher() const;

    // True if another request may be sent on it now.
    bool reusable() const;

    int handle_input(ACE_HANDLE handle) override;
    int handle_output(ACE_HANDLE handle) override;
    ACE_HANDLE get_handle() const override;

    using Hook = boost::intrusive::list_member_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;
    Hook hook;

private:
    bool open();
    void flush();
    void endOfStream();
    void finish();
    void fail(FailureKind kind, const std::string &detail);
    void watchOutput(bool wanted);

    ACE_Reactor &m_reactor;
    std::string m_searcher;
    std::string m_address;
    Hooks m_hooks;
    ACE_HANDLE m_handle = ACE_INVALID_HANDLE;
    bool m_connected = false;
    bool m_busy = false;
    bool m_persistent = true;
    bool m_outputWatched = false;
    AttemptId m_attempt;
    std::string m_output;
    std::size_t m_written = 0;
    // No request may be sent after this time, since the peer closes the connection soon.
    TimePoint m_usableUntil = TimePoint::max();
    ResponseReader m_reader;
};
}
