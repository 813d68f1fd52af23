#pragma once

#include <functional>
#include <memory>
#include <string>

namespace Quetzallift
{
class EventLoop;

// Carries messages between entry hosts: one kept HTTP/2 connection to each peer that is talked to and one stream for
// each message. Everything runs on the loop's thread and nothing blocks.
class PeerStreams
{
public:
    // Both are called from the reactor, never from within send().
    struct Callbacks {
        // A whole message arrived; from is the sender's listening address.
        std::function<void(const std::string &from, std::string bytes)> received;
        // At least one message to this address was not acknowledged: no connection, a closed one, or no answer in time.
        std::function<void(const std::string &address)> failed;
    };

    // Listens on "ip:port", which is also the address that peers reply to. Throws Error if it cannot be used.
    PeerStreams(EventLoop &loop, const std::string &listenAddress, Callbacks callbacks);
    ~PeerStreams();
    PeerStreams(const PeerStreams &) = delete;
    PeerStreams &operator=(const PeerStreams &) = delete;

    // Sends a message, over a new connection if there is none. False if the message was not taken: the queue of the peer
    // or the number of connections is at its bound, the message is too large, or this host is shutting down.
    bool send(const std::string &address, std::string bytes);

    // Accepts no more connections and sends GOAWAY on the open ones, which close when their messages are through.
    void shutdown();

private:
    class Engine;
    std::unique_ptr<Engine> m_engine;
};
}
