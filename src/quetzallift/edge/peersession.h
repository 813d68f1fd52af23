#pragma once

#include "quetzallift/edge/peercodec.h"
#include "quetzallift/model/time.h"

#include <ace/Event_Handler.h>
#include <ace/SOCK_Stream.h>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <nghttp2/nghttp2.h>

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace Quetzallift
{
enum class PeerSide {
    // Opened the connection and sends messages on it.
    Sender,
    // Accepted the connection and receives messages on it.
    Receiver,
};

// One HTTP/2 session with a peer over a non-blocking socket. Reference counted, since the reactor holds a reference while
// the session is registered.
class PeerSession : public ACE_Event_Handler
{
public:
    // Callbacks to the owner of a session; never called during send().
    struct Hooks {
        std::function<void(const std::string &from, std::string bytes)> received;
        // The connection ended; `lost` is true if a message was not acknowledged.
        std::function<void(PeerSession &session, bool lost)> closed;
    };

    // Takes ownership of the socket, which may still be connecting. `peer` is the address that was connected to, or the
    // remote address of an accepted connection. `ownAddress` is sent to the receiver as the sender address.
    PeerSession(ACE_Reactor &reactor, const ACE_SOCK_Stream &socket, PeerSide side, std::string peer, std::string ownAddress, Hooks hooks);
    ~PeerSession() override;
    PeerSession(const PeerSession &) = delete;
    PeerSession &operator=(const PeerSession &) = delete;

    // Registers the socket with the reactor. Returns false if that fails.
    bool open();

    // Sends a message on its own stream. Returns false if the session does not accept the message.
    bool send(std::string bytes);

    // Sends GOAWAY and closes the connection once the open streams have ended.
    void closeGracefully();

    // Closes the socket immediately and calls the closed hook. Does nothing if the session is closed or open() failed.
    void abort();

    const std::string &peer() const;
    bool isReceiver() const;
    // True once either side has sent GOAWAY.
    bool isGoingAway() const;
    // True if no message is in progress.
    bool isIdle() const;

    // The last time at which the peer sent anything, or a message was queued while no other was in progress.
    TimePoint lastProgress() const;

    ACE_HANDLE get_handle() const override;
    int handle_input(ACE_HANDLE handle) override;
    int handle_output(ACE_HANDLE handle) override;
    int handle_close(ACE_HANDLE handle, ACE_Reactor_Mask mask) override;

private:
    friend class PeerSessionCallbacks;

    struct SessionDeleter {
        void operator()(nghttp2_session *session) const
        {
            nghttp2_session_del(session);
        }
    };

    // A message that is sent or received on one stream.
    struct Message {
        std::string from;
        std::string bytes;
        std::size_t offset = 0;
    };

    struct ReceivedMessage {
        std::string from;
        std::string bytes;
    };

    bool acceptsMessages() const;
    bool hasConnectSucceeded();
    bool writePending();
    void submitGoawayWhenDue();
    void flush();
    void deliverMessages();
    void watchWritable(bool wanted);
    void removeMessage(std::int32_t stream);
    bool isSenderAllowed(const std::string &from) const;

    ACE_SOCK_Stream m_socket;
    PeerSide m_side;
    std::string m_peer;
    std::string m_ownAddress;
    Hooks m_hooks;
    std::unique_ptr<nghttp2_session, SessionDeleter> m_session;
    std::unordered_map<std::int32_t, Message> m_messages;
    std::vector<ReceivedMessage> m_received;
    // The total size of m_messages.
    std::size_t m_queuedBytes = 0;
    std::string m_output;
    TimePoint m_lastProgress = Clock::now();
    bool m_connecting;
    bool m_watchingWritable = false;
    bool m_goingAway = false;
    // True from closeGracefully() until GOAWAY is submitted.
    bool m_goawayPending = false;
    bool m_closed = false;
    bool m_messageLost = false;
};

// Uses the reference counter of ACE_Event_Handler, which the reactor uses too.
inline void intrusive_ptr_add_ref(PeerSession *session)
{
    session->add_reference();
}

inline void intrusive_ptr_release(PeerSession *session)
{
    session->remove_reference();
}

using PeerSessionPtr = boost::intrusive_ptr<PeerSession>;
}
