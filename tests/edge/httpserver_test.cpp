#include "quetzallift/edge/eventloop.h"
#include "quetzallift/edge/httpclient.h"
#include "quetzallift/edge/httpserver.h"
#include "quetzallift/edge/socketaddress.h"

#include <curl/curl.h>

#include <criterion/criterion.h>

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace Quetzallift;

namespace
{
constexpr const char *Address = "127.0.0.1:19871";

HttpRequest makeRequest()
{
    HttpRequest request;
    request.url = std::string("http://") + Address + "/";
    request.timeout = std::chrono::seconds(10);
    return request;
}
}

// Guards against a request that is still processed after its caller closed the connection.
Test(httpserver, reportsPeerCloseOfASuspendedRequest)
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
    EventLoop loop;
    HttpClient client(loop);
    TransferId transfer;
    bool closed = false;
    HttpServer server(loop, Address, [&](const HttpExchangePtr &exchange) {
        exchange->setClosedHandler([&] {
            closed = true;
            loop.stop();
        });
        client.cancel(transfer);
    });
    transfer = client.send(makeRequest(), [](const HttpResult &) {
    });
    loop.callAt(Clock::now() + std::chrono::seconds(10), [&] {
        loop.stop();
    });
    loop.run();
    cr_assert(closed);
}

// Guards against an error response to a dropped request, which would claim that the request did not run although its
// outcome is unknown.
Test(httpserver, closesDroppedRequestWithoutResponse)
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
    EventLoop loop;
    HttpClient client(loop);
    HttpServer server(loop, "127.0.0.1:19872", [&](const HttpExchangePtr &exchange) {
        loop.callAt(Clock::now(), [exchange] {
            exchange->drop();
        });
    });
    HttpRequest request = makeRequest();
    request.url = "http://127.0.0.1:19872/";
    HttpOutcome outcome = HttpOutcome::Responded;
    client.send(std::move(request), [&](const HttpResult &result) {
        outcome = result.outcome;
        loop.stop();
    });
    loop.run();
    cr_assert(outcome == HttpOutcome::Reset);
}

// Guards against a process that aborts at shutdown because an unread request is pending on a persistent connection when the
// server is destroyed.
Test(httpserver, canBeDestroyedWithAnUnreadRequest)
{
    constexpr const char *OtherAddress = "127.0.0.1:19873";
    constexpr std::string_view Request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
    EventLoop loop;
    unsigned handled = 0;
    auto server = std::make_unique<HttpServer>(loop, OtherAddress, [&](const HttpExchangePtr &exchange) {
        if (++handled == 1) {
            exchange->respond(200, "{}");
            loop.callAt(Clock::now() + std::chrono::milliseconds(50), [&loop] {
                loop.stop();
            });
        }
    });
    const sockaddr_in peer = parseAddress(OtherAddress);
    const int handle = socket(AF_INET, SOCK_STREAM, 0);
    cr_assert_eq(connect(handle, reinterpret_cast<const sockaddr *>(&peer), sizeof(peer)), 0);
    send(handle, Request.data(), Request.size(), MSG_NOSIGNAL);
    loop.run();
    send(handle, Request.data(), Request.size(), MSG_NOSIGNAL);
    server.reset();
    close(handle);
    cr_assert_eq(handled, 1U);
}

// Guards against a connection that stays in the reactor after it was closed, since nothing was read from it while its client sent
// much behind a request. The reactor then uses an object that is gone: at its own end, or as the descriptor is used again.
Test(httpserver, closedConnectionsLeaveTheReactor, .timeout = 60)
{
    constexpr std::size_t SentAhead = std::size_t{1} * 1024 * 1024;
    constexpr int Descriptors = 1024;
    EventLoop loop;
    std::vector<HttpExchangePtr> unanswered;
    auto server = std::make_unique<HttpServer>(loop, "127.0.0.1:19885", [&unanswered](const HttpExchangePtr &exchange) {
        unanswered.push_back(exchange);
    });
    std::thread client([&loop] {
        const sockaddr_in peer = parseAddress("127.0.0.1:19885");
        const int handle = socket(AF_INET, SOCK_STREAM, 0);
        cr_assert_eq(connect(handle, reinterpret_cast<const sockaddr *>(&peer), sizeof(peer)), 0);
        const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n" + std::string(SentAhead, 'a');
        send(handle, request.data(), request.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
        loop.stop();
        close(handle);
    });
    loop.run();
    client.join();
    cr_assert_eq(unanswered.size(), 1U);
    server.reset();
    for (int handle = 0; handle < Descriptors; ++handle) {
        const bool isOpen = fcntl(handle, F_GETFD) >= 0;
        cr_assert(isOpen || loop.reactor().find_handler(handle) == nullptr, "descriptor %d", handle);
    }
}

// Guards against a connection that is closed although there is room, and against one that keeps others out since there is none.
Test(httpserver, theLongestIdleConnectionMakesRoom, .timeout = 60)
{
    constexpr const char *LimitedAddress = "127.0.0.1:19886";
    constexpr std::size_t Limit = 2;
    EventLoop loop;
    const HttpServer server(loop,
                            LimitedAddress,
                            [](const HttpExchangePtr &exchange) {
                                exchange->respond(200, "whole");
                            },
                            {},
                            {Limit, nullptr});
    std::vector<int> clients;
    const auto isServed = [&clients](std::size_t number) {
        const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
        std::string received;
        char byte = 0;
        send(clients[number], request.data(), request.size(), MSG_NOSIGNAL);
        while (!received.ends_with("whole") && recv(clients[number], &byte, 1, 0) == 1) {
            received += byte;
        }
        return received.ends_with("whole");
    };
    const auto connectClient = [&clients] {
        const sockaddr_in peer = parseAddress(LimitedAddress);
        clients.push_back(socket(AF_INET, SOCK_STREAM, 0));
        cr_assert_eq(connect(clients.back(), reinterpret_cast<const sockaddr *>(&peer), sizeof(peer)), 0);
    };
    std::thread client([&] {
        for (std::size_t number = 0; number < Limit; ++number) {
            connectClient();
            cr_expect(isServed(number));
        }
        cr_expect(isServed(0));
        connectClient();
        cr_expect(isServed(2));
        cr_expect(isServed(0), "the connection that was used last was closed");
        cr_expect_not(isServed(1), "the connection that was idle the longest is still open");
        loop.stop();
    });
    loop.run();
    client.join();
    for (const int handle : clients) {
        close(handle);
    }
}
