#pragma once

#include <functional>
#include <memory>
#include <string>

namespace Quetzallift
{
class EventLoop;

// Sends and receives messages between entry hosts, with one persistent HTTP/2 connection to each peer that messages are
// sent to and one stream for each message. Runs on the loop's thread only and does not block.
class PeerStreams
{
public:
    // Both are called from the reactor, never during send().
    struct Callbacks {
        // Called with a complete message; `from` is the sender's listening address.
        std::function<void(const std::string &from, std::string bytes)> received;
        // At least one message to this address was not acknowledged: the connection failed, was closed or timed out.
        std::function<void(const std::string &address)> failed;
    };

    // Listens on "ip:port", which is also the address that peers reply to. Throws Error if it is invalid or cannot be bound.
    PeerStreams(EventLoop &loop, const std::string &listenAddress, Callbacks callbacks);
    ~PeerStreams();
    PeerStreams(const PeerStreams &) = delete;
    PeerStreams &operator=(const PeerStreams &) = delete;

    // Sends a message, over a new connection if there is none. Returns false if the message was not accepted: the peer's
    // queue is full, the limit of connections is reached, the connection cannot be opened, the message is too large, or
    // this host is shutting down. If the connection cannot be opened, `failed` is called later as well.
    bool send(const std::string &address, std::string bytes);

    // Accepts no more connections and closes the open ones gracefully: GOAWAY is sent, and a connection closes when its
    // messages are acknowledged.
    void shutdown();

private:
    class Engine;
    std::unique_ptr<Engine> m_engine;
};
}
