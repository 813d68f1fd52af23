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
// Ends a loop that got stuck; the test then fails by what did not arrive.
constexpr Duration Guard = std::chrono::seconds(20);

// Stops the loop as soon as it applies an event.
void stopOnEvent(EventLoop &loop)
{
    loop.setEffectHandler([&loop](const Effect &) {
        loop.stop();
    });
}

// A host on a thread of its own that answers every message with the same bytes, and tells an observer of each.
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

// The host of the test's own thread, which collects what it is told.
struct NearHost {
    explicit NearHost(const std::string &address)
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
    std::size_t awaited = 1;
    PeerStreams streams;

    void stopWhenDone()
    {
        if (received.size() + failed.size() >= awaited) {
            loop.stop();
        }
    }

    void runUntil(std::size_t count)
    {
        awaited = count;
        loop.callAt(Clock::now() + Guard, [this] {
            loop.stop();
        });
        loop.run();
    }
};
}

// Guards against messages that are lost, cut or mixed up when several large and small ones share a connection.
Test(peerstreams, messagesArriveWholeInBothDirections)
{
    const std::string farAddress = "127.0.0.1:27112";
    const EchoHost far(farAddress);
    NearHost near("127.0.0.1:27111");
    std::vector<std::string> sent = {"", "x", std::string(300, 'a'), std::string(1024U * 1024U, 'b'), std::string(100000, 'c')};
    for (const std::string &bytes : sent) {
        cr_assert(near.streams.send(farAddress, bytes));
    }
    near.runUntil(sent.size());
    std::sort(sent.begin(), sent.end());
    std::sort(near.received.begin(), near.received.end());
    cr_assert(near.received == sent);
    cr_assert(near.failed.empty());
}

// Guards against a sender that waits forever, or blocks, on a peer that is gone.
Test(peerstreams, unreachablePeerIsReported)
{
    NearHost near("127.0.0.1:27121");
    near.streams.send("127.0.0.1:27199", "x");
    near.runUntil(1);
    cr_assert_eq(near.failed.size(), 1U);
    cr_assert_eq(near.failed.at(0), "127.0.0.1:27199");
}

// Guards against memory without bound for a peer that does not take its messages.
Test(peerstreams, queueAndMessageSizeAreBounded)
{
    const std::string farAddress = "127.0.0.1:27132";
    const EchoHost far(farAddress);
    NearHost near("127.0.0.1:27131");
    cr_assert_not(near.streams.send(farAddress, std::string(2U * 1024U * 1024U, 'x')));
    std::size_t taken = 0;
    while (near.streams.send(farAddress, "x") && taken < 10000) {
        ++taken;
    }
    cr_assert_leq(taken, 64U);
}

// Guards against a planned stop that cuts off messages which were already taken.
Test(peerstreams, shutdownDeliversWhatWasTaken)
{
    const std::string farAddress = "127.0.0.1:27142";
    constexpr int Count = 20;
    NearHost near("127.0.0.1:27141");
    stopOnEvent(near.loop);
    std::atomic<int> arrived = 0;
    const EchoHost far(farAddress, [&] {
        if (++arrived == Count) {
            near.loop.post(StopRequested{});
        }
    });
    for (int number = 0; number < Count; ++number) {
        cr_assert(near.streams.send(farAddress, std::string(50000, 'x')));
    }
    near.streams.shutdown();
    cr_assert_not(near.streams.send(farAddress, "late"));
    near.runUntil(1);
    cr_assert_eq(arrived.load(), Count);
}

// Guards against a host that refuses all peers after one of them reset its connection at once: the connection was counted as
// ended twice, and the count of open ones fell below zero.
Test(peerstreams, peerThatResetsAtOnceIsCountedOnce)
{
    const std::string nearAddress = "127.0.0.1:27161";
    NearHost near(nearAddress);
    const sockaddr_in target = parseAddress(nearAddress);
    const int handle = socket(AF_INET, SOCK_STREAM, 0);
    cr_assert_eq(connect(handle, reinterpret_cast<const sockaddr *>(&target), sizeof target), 0);
    const linger now{1, 0};
    setsockopt(handle, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    close(handle);
    const EchoHost far("127.0.0.1:27162");
    near.loop.callAt(Clock::now() + std::chrono::milliseconds(100), [&near] {
        near.streams.send("127.0.0.1:27162", "x");
    });
    near.runUntil(1);
    cr_assert_eq(near.received.size(), 1U);
}
