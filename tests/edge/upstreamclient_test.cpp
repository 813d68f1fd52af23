#include "quetzallift/edge/eventloop.h"
#include "quetzallift/edge/upstreamclient.h"

#include <criterion/criterion.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <string>
#include <thread>
#include <vector>

using namespace Quetzallift;

namespace
{
// A peer that responds to the first request of each connection, closes the connection at the second one without a response,
// and counts the requests. Its thread ends when the listening socket is shut down.
class ClosingPeer
{
public:
    ClosingPeer()
        : m_listen(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        bind(m_listen, reinterpret_cast<sockaddr *>(&address), size);
        listen(m_listen, 8);
        getsockname(m_listen, reinterpret_cast<sockaddr *>(&address), &size);
        m_address = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
        m_thread = std::thread([this] {
            serve();
        });
    }

    ~ClosingPeer()
    {
        stop();
        close(m_listen);
    }

    ClosingPeer(const ClosingPeer &) = delete;
    ClosingPeer &operator=(const ClosingPeer &) = delete;

    void stop()
    {
        if (m_thread.joinable()) {
            shutdown(m_listen, SHUT_RDWR);
            m_thread.join();
        }
    }

    const std::string &address() const
    {
        return m_address;
    }

    // Only valid after stop().
    int requests() const
    {
        return m_requests;
    }

private:
    void serve()
    {
        const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        int connection = 0;
        while ((connection = accept(m_listen, nullptr, nullptr)) >= 0) {
            char buffer[1024];
            for (int number = 0; recv(connection, buffer, sizeof(buffer), 0) > 0; ++number) {
                ++m_requests;
                if (number > 0) {
                    break;
                }
                ::send(connection, answer.data(), answer.size(), MSG_NOSIGNAL);
            }
            close(connection);
        }
    }

    int m_listen;
    int m_requests = 0;
    std::string m_address;
    std::thread m_thread;
};
}

// Guards against a request that runs twice because the HTTP library resends it when a reused connection closes. libcurl did
// so: the peer ran three requests for two calls.
Test(upstreamclient, doesNotResendARequest, .timeout = 30)
{
    ClosingPeer peer;
    EventLoop loop;
    std::vector<std::string> outcomes;
    UpstreamClient *client = nullptr;
    UpstreamClient::Hooks hooks;
    const auto request = [&peer](std::uint64_t attempt) {
        return UpstreamClient::Request{AttemptId{attempt}, "s", peer.address(), [] {
                                           return OutgoingRequest{"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n", nullptr};
                                       }};
    };
    hooks.matchesRequest = [](AttemptId, const UpstreamResponse &) {
        return true;
    };
    hooks.opened = [](const std::string &) {
    };
    hooks.replied = [&](AttemptId, const UpstreamResponse &) {
        outcomes.emplace_back("replied");
        client->send(request(2));
    };
    hooks.failed = [&](AttemptId, const Failure &, bool sent) {
        outcomes.emplace_back(sent ? "failed after sending" : "failed");
        loop.stop();
    };
    {
        UpstreamClient owned(loop, hooks);
        client = &owned;
        client->send(request(1));
        loop.run();
    }
    peer.stop();
    cr_assert(outcomes == (std::vector<std::string>{"replied", "failed after sending"}));
    cr_assert_eq(peer.requests(), 2);
}

// Guards against a refused connection that is reported as a request that may have run.
Test(upstreamclient, refusedConnectionReportsNothingSent, .timeout = 30)
{
    std::string address;
    {
        const ClosingPeer peer;
        address = peer.address();
    }
    EventLoop loop;
    bool sentAnything = true;
    UpstreamClient::Hooks hooks;
    hooks.opened = [](const std::string &) {
    };
    hooks.failed = [&](AttemptId, const Failure &failure, bool sent) {
        sentAnything = sent;
        cr_assert(failure.kind == FailureKind::ConnectionRefused);
        loop.stop();
    };
    UpstreamClient client(loop, hooks);
    client.send({AttemptId{1}, "s", address, [] {
                     return OutgoingRequest{"GET / HTTP/1.1\r\n\r\n", nullptr};
                 }});
    loop.run();
    cr_assert_not(sentAnything);
}

// Guards against searchers that send much of a response and stop, and together fill the memory of the host, and against
// ordinary responses that fail for it.
Test(upstreamclient, largeResponsesTogetherAreLimited)
{
    constexpr std::uint64_t Attempts = 8;
    const int listening = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    bind(listening, reinterpret_cast<sockaddr *>(&address), size);
    listen(listening, Attempts + 1);
    getsockname(listening, reinterpret_cast<sockaddr *>(&address), &size);
    // Sends 7 MiB of 100 to each attempt and keeps the connections open, then a small response to the last one.
    std::thread peer([listening] {
        std::vector<int> connections;
        for (std::uint64_t number = 0; number <= Attempts; ++number) {
            const int connection = accept(listening, nullptr, nullptr);
            connections.push_back(connection);
            std::string text = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(number < Attempts ? 104857600 : 3) + "\r\n\r\n";
            text += number < Attempts ? std::string(7U * 1024U * 1024U, 'x') : "abc";
            for (std::size_t at = 0; at < text.size();) {
                const ssize_t sent = ::send(connection, text.data() + at, text.size() - at, MSG_NOSIGNAL);
                if (sent <= 0) {
                    break;
                }
                at += static_cast<std::size_t>(sent);
            }
        }
        for (const int connection : connections) {
            close(connection);
        }
    });
    EventLoop loop;
    std::vector<FailureKind> failures;
    std::string body;
    UpstreamClient *client = nullptr;
    const auto send = [&](std::uint64_t attempt) {
        client->send({AttemptId{attempt}, "s", "127.0.0.1:" + std::to_string(ntohs(address.sin_port)), [] {
                          return OutgoingRequest{"GET / HTTP/1.1\r\n\r\n", nullptr};
                      }});
    };
    UpstreamClient::Hooks hooks;
    hooks.matchesRequest = [](AttemptId, const UpstreamResponse &) {
        return true;
    };
    hooks.opened = [](const std::string &) {
    };
    hooks.failed = [&](AttemptId, const Failure &failure, bool) {
        failures.push_back(failure.kind);
    };
    hooks.replied = [&](AttemptId, const UpstreamResponse &response) {
        body = response.body;
        loop.stop();
    };
    UpstreamClient owned(loop, hooks);
    client = &owned;
    loop.callAt(Clock::now() + std::chrono::seconds(60), [&loop] {
        loop.stop();
    });
    for (std::uint64_t attempt = 1; attempt <= Attempts + 1; ++attempt) {
        send(attempt);
    }
    loop.run();
    peer.join();
    close(listening);
    const auto limited = std::count(failures.begin(), failures.end(), FailureKind::BadReply);
    cr_assert_geq(limited, 5, "%zd of 8 attempts failed", static_cast<ssize_t>(limited));
    cr_assert_str_eq(body.c_str(), "abc");
}
