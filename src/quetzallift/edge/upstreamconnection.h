#pragma once

#include "quetzallift/edge/responsebuffers.h"
#include "quetzallift/edge/responsereader.h"
#include "quetzallift/model/clientrequest.h"
#include "quetzallift/model/failure.h"
#include "quetzallift/model/ids.h"
#include "quetzallift/model/time.h"

#include <ace/Event_Handler.h>
#include <boost/intrusive/list.hpp>

#include <functional>
#include <string>
#include <string_view>

class ACE_Reactor;

namespace Quetzallift
{
// A request as it is written to a searcher: its head, and the request that holds its body, or null if there is none.
struct OutgoingRequest {
    std::string head;
    ClientRequestPtr content;
};

// One connection to a searcher. It carries one request at a time, and never resends a request.
class UpstreamConnection : public ACE_Event_Handler
{
public:
    // Returns a request. Called when its first byte can be written, so that a time limit in the request does not include the
    // time to open the connection.
    using Encoder = std::function<OutgoingRequest()>;

    // Callbacks to the owner, which may retire the connection during any of them.
    struct Hooks {
        // A complete response arrived. The connection may carry another request if isReusable() is true.
        std::function<void(UpstreamConnection &, UpstreamResponse)> replied;
        // The request ended without a response. `sent` is false only if no byte of the request was sent.
        std::function<void(UpstreamConnection &, Failure, bool sent)> failed;
        // The first byte of the request was written, the given time after send().
        std::function<void(Duration)> started;
        // The searcher closed an idle connection, or sent bytes on it.
        std::function<void(UpstreamConnection &)> closed;
    };

    // The response that arrives is counted in the buffers, which must outlive the connection.
    UpstreamConnection(ACE_Reactor &reactor, ResponseBuffers &buffers, std::string searcher, std::string address, Hooks hooks);
    ~UpstreamConnection() override;
    UpstreamConnection(const UpstreamConnection &) = delete;
    UpstreamConnection &operator=(const UpstreamConnection &) = delete;

    // Opens the connection if it is not open yet and sends a request. A request whose deadline passes before the connection
    // is established fails and is not sent. Returns false if no connection can be started.
    bool send(AttemptId attempt, Encoder encode, TimePoint deadline, bool expectsBody);

    // Closes the socket without calling a hook.
    void closeSocket();

    AttemptId attempt() const;
    const std::string &searcher() const;

    // True if another request may be sent on this connection now.
    bool isReusable() const;

    int handle_input(ACE_HANDLE handle) override;
    int handle_output(ACE_HANDLE handle) override;
    ACE_HANDLE get_handle() const override;

    using Hook = boost::intrusive::list_member_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;
    Hook hook;

private:
    bool open();
    void start();
    void flush();
    // What is left to be written of the head, or else of the body.
    std::string_view unwritten() const;
    void releaseRequest();
    void handleEndOfStream();
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
    Encoder m_encode;
    TimePoint m_deadline;
    OutgoingRequest m_output;
    std::size_t m_written = 0;
    // True once the whole request was written; it is then released.
    bool m_wholeWritten = false;
    TimePoint m_requestedAt;
    // No request may be sent after this time, since the searcher is about to close the connection.
    TimePoint m_usableUntil = TimePoint::max();
    ResponseReader m_reader;
    ResponseBuffers::Reservation m_buffered;
};
}
