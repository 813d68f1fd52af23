#include "quetzallift/edge/eventloop.h"
#include "quetzallift/edge/peerstreams.h"
#include "quetzallift/edge/socketaddress.h"

#include <algorithm>
#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include <criterion/criterion.h>

#include <sys/socket.h>
#include <unistd.h>

using namespace Quetzallift;

namespace
{
// Ends a loop that does not stop; the test then fails because messages are missing.
constexpr Duration LoopTimeout = std::chrono::seconds(20);

// Stops the loop as soon as it applies an event.
void stopOnEvent(EventLoop &loop)
{
    loop.setEffectHandler([&loop](const Effect &) {
        loop.stop();
    });
}

// A host on its own thread that replies to each message with the same bytes and then calls an observer.
class EchoHost
{
public:
    explicit EchoHost(
        const std::string &address,
        const std::function<void()> &observer =
            [] {
            })
        : m_streams(m_loop,
                    address,
                    {[this, observer](const std::string &from, const std::string &bytes) {
                         m_streams.send(from, bytes);
                         observer();
                     },
                     [](const std::string &) {
                     }})
    {
        stopOnEvent(m_loop);
        m_thread = std::thread([this] {
            m_loop.run();
        });
    }

    ~EchoHost()
    {
        m_loop.post(StopRequested{});
        m_thread.join();
    }

    EchoHost(const EchoHost &) = delete;
    EchoHost &operator=(const EchoHost &) = delete;

private:
    EventLoop m_loop;
    PeerStreams m_streams;
    std::thread m_thread;
};

// The host on the test's thread, which records received messages and failures.
struct LocalHost {
    explicit LocalHost(const std::string &address)
        : streams(loop, address, callbacks())
    { }

    PeerStreams::Callbacks callbacks()
    {
        return {[this](const std::string &, std::string bytes) {
                    received.push_back(std::move(bytes));
                    stopWhenDone();
                },
                [this](const std::string &address) {
                    failed.push_back(address);
                    stopWhenDone();
                }};
    }

    EventLoop loop;
    std::vector<std::string> received;
    std::vector<std::string> failed;
    std::size_t expectedCount = 1;
    PeerStreams streams;

    void stopWhenDone()
    {
        if (received.size() + failed.size() >= expectedCount) {
            loop.stop();
        }
    }

    void runUntil(std::size_t count)
    {
        expectedCount = count;
        loop.callAt(Clock::now() + LoopTimeout, [this] {
            loop.stop();
        });
        loop.run();
    }
};
}

// Guards against messages that are lost, truncated or mixed up when large and small messages share a connection.
Test(peerstreams, deliversCompleteMessagesInBothDirections)
{
    const std::string remoteAddress = "127.0.0.1:27112";
    const EchoHost remote(remoteAddress);
    LocalHost local("127.0.0.1:27111");
    std::vector<std::string> sent = {"", "x", std::string(300, 'a'), std::string(1024U * 1024U, 'b'), std::string(100000, 'c')};
    for (const std::string &bytes : sent) {
        cr_assert(local.streams.send(remoteAddress, bytes));
    }
    local.runUntil(sent.size());
    std::sort(sent.begin(), sent.end());
    std::sort(local.received.begin(), local.received.end());
    cr_assert(local.received == sent);
    cr_assert(local.failed.empty());
}

// Guards against a sender that waits without a timeout, or blocks, when no peer listens on the address.
Test(peerstreams, unreachablePeerIsReported)
{
    LocalHost local("127.0.0.1:27121");
    local.streams.send("127.0.0.1:27199", "x");
    local.runUntil(1);
    cr_assert_eq(local.failed.size(), 1U);
    cr_assert_eq(local.failed.at(0), "127.0.0.1:27199");
}

// Guards against unbounded memory use for a peer that does not receive its messages.
Test(peerstreams, queueAndMessageSizeAreBounded)
{
    const std::string remoteAddress = "127.0.0.1:27132";
    const EchoHost remote(remoteAddress);
    LocalHost local("127.0.0.1:27131");
    cr_assert_not(local.streams.send(remoteAddress, std::string(2U * 1024U * 1024U, 'x')));
    std::size_t accepted = 0;
    while (local.streams.send(remoteAddress, "x") && accepted < 10000) {
        ++accepted;
    }
    cr_assert_leq(accepted, 64U);
}

// Guards against a graceful shutdown that loses messages which were already accepted.
Test(peerstreams, shutdownDeliversAcceptedMessages)
{
    const std::string remoteAddress = "127.0.0.1:27142";
    constexpr int Count = 20;
    LocalHost local("127.0.0.1:27141");
    stopOnEvent(local.loop);
    std::atomic<int> arrived = 0;
    const EchoHost remote(remoteAddress, [&] {
        if (++arrived == Count) {
            local.loop.post(StopRequested{});
        }
    });
    for (int number = 0; number < Count; ++number) {
        cr_assert(local.streams.send(remoteAddress, std::string(50000, 'x')));
    }
    local.streams.shutdown();
    cr_assert_not(local.streams.send(remoteAddress, "late"));
    local.runUntil(1);
    cr_assert_eq(arrived.load(), Count);
}

// Guards against a host that refuses all peers after one of them reset its connection immediately: the connection was
// subtracted twice from the count of open connections, which wrapped below zero.
Test(peerstreams, immediateResetIsCountedOnce)
{
    const std::string localAddress = "127.0.0.1:27161";
    LocalHost local(localAddress);
    const sockaddr_in target = parseAddress(localAddress);
    const int handle = socket(AF_INET, SOCK_STREAM, 0);
    cr_assert_eq(connect(handle, reinterpret_cast<const sockaddr *>(&target), sizeof target), 0);
    const linger now{1, 0};
    setsockopt(handle, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    close(handle);
    const EchoHost remote("127.0.0.1:27162");
    local.loop.callAt(Clock::now() + std::chrono::milliseconds(100), [&local] {
        local.streams.send("127.0.0.1:27162", "x");
    });
    local.runUntil(1);
    cr_assert_eq(local.received.size(), 1U);
}
