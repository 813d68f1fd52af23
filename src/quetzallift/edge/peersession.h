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

// One HTTP/2 session with a peer over a socket that never blocks. Reference counted, since the reactor holds it while
// it is registered.
class PeerSession : public ACE_Event_Handler
{
public:
    // What the owner of a session learns from it. The hooks are never called from within send().
    struct Hooks {
        std::function<void(const std::string &from, std::string bytes)> received;
        // The connection ended; lost is true if a message was not acknowledged.
        std::function<void(PeerSession &session, bool lost)> closed;
    };

    // Takes over the socket, which may still be connecting. The peer is the address that was dialled, or the remote one.
    // The self address is announced to the receiver.
    PeerSession(ACE_Reactor &reactor, const ACE_SOCK_Stream &socket, PeerSide side, std::string peer, std::string self, Hooks hooks);
    ~PeerSession() override;
    PeerSession(const PeerSession &) = delete;
    PeerSession &operator=(const PeerSession &) = delete;

    // Registers the socket. False if the system refuses.
    bool open();

    // Sends a message on a stream of its own. False if the session takes no more messages now.
    bool send(std::string bytes);

    // Sends GOAWAY and closes once the streams that are open have ended.
    void closeGracefully();

    // Closes the socket at once and calls the closed hook once.
    void abort();

    const std::string &peer() const;
    bool isReceiver() const;
    // True once either side has sent GOAWAY.
    bool isGoingAway() const;
    // True if no message is under way.
    bool isIdle() const;

    // The last time at which the peer sent anything or a message was first put in.
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

    // A message that leaves or arrives on one stream.
    struct Message {
        std::string from;
        std::string bytes;
        std::size_t offset = 0;
    };

    struct Arrived {
        std::string from;
        std::string bytes;
    };

    bool acceptsMessages() const;
    bool connected();
    bool writePending();
    void submitGoawayWhenDue();
    void flush();
    void deliver();
    void watchWritable(bool wanted);
    void forget(std::int32_t stream);
    bool fromAllowed(const std::string &from) const;

    ACE_SOCK_Stream m_socket;
    PeerSide m_side;
    std::string m_peer;
    std::string m_self;
    Hooks m_hooks;
    std::unique_ptr<nghttp2_session, SessionDeleter> m_session;
    std::unordered_map<std::int32_t, Message> m_messages;
    std::vector<Arrived> m_arrived;
    // Bytes of the messages above.
    std::size_t m_queuedBytes = 0;
    std::string m_output;
    TimePoint m_lastProgress = Clock::now();
    bool m_connecting;
    bool m_watchingWritable = false;
    bool m_goingAway = false;
    // GOAWAY is still to be sent.
    bool m_closeWhenIdle = false;
    bool m_closed = false;
    bool m_messageLost = false;
};

// Counts references with the counter that the reactor uses.
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
