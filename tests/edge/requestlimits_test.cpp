#include "quetzallift/edge/eventloop.h"
#include "quetzallift/edge/httpserver.h"
#include "quetzallift/edge/socketaddress.h"

#include <criterion/criterion.h>

#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <functional>
#include <string>
#include <thread>

using namespace Quetzallift;

namespace
{
// The limit of a configuration that sets no other.
constexpr std::size_t HeadLimit = 16384;
// The signatures of 30 parts, as in the answer to a query over as many shards.
constexpr std::size_t AnswerHeaderSize = 900;

std::string repeat(std::size_t times, const std::function<std::string(std::size_t)> &text)
{
    std::string all;
    for (std::size_t number = 0; number < times; ++number) {
        all += text(number);
    }
    return all;
}

std::string head(const std::string &target, const std::string &headers = {})
{
    return "GET " + target + " HTTP/1.1\r\nHost: h\r\n" + headers + "\r\n";
}

// Sends bytes on a new connection and returns what is received until the given text, the end of the stream, or ten seconds
// without a byte.
std::string exchange(const std::string &address, const std::string &bytes, const std::string &until)
{
    const sockaddr_in peer = parseAddress(address);
    const int handle = socket(AF_INET, SOCK_STREAM, 0);
    const timeval limit{10, 0};
    setsockopt(handle, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    std::string received;
    if (connect(handle, reinterpret_cast<const sockaddr *>(&peer), sizeof(peer)) == 0) {
        send(handle, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        char buffer[4096];
        ssize_t size = 1;
        while (size > 0 && received.find(until) == std::string::npos) {
            size = recv(handle, buffer, sizeof(buffer), 0);
            received.append(buffer, size > 0 ? static_cast<std::size_t>(size) : 0);
        }
    }
    close(handle);
    return received;
}

// Runs a server, and sends it the bytes from another thread until the given text is received.
std::string
serve(const std::string &address, const HttpServer::Handler &handler, const ConnectionHooks &hooks, const std::string &bytes, const std::string &until)
{
    EventLoop loop;
    HttpServer server(loop, address, handler, hooks);
    std::string received;
    std::thread client([&] {
        received = exchange(address, bytes, until);
        loop.stop();
    });
    loop.run();
    client.join();
    return received;
}

// The answer to a request, with a long header.
std::string answerTo(const std::string &address, const std::string &bytes)
{
    const auto handler = [](const HttpExchangePtr &exchange) {
        exchange->addHeader("Part-Signatures", std::string(AnswerHeaderSize, 's'));
        exchange->respond(200, "whole");
    };
    return serve(address, handler, {}, bytes, "whole");
}

bool isWholeAnswer(const std::string &received)
{
    return received.starts_with("HTTP/1.1 200 ") && received.ends_with("\r\n\r\nwhole");
}
}

// Guards against requests that run at all searchers and get no answer: the records of their arguments left no memory for the
// headers of the answer, and the connection was closed.
Test(requestlimits, answerFitsBesideManyArguments, .timeout = 60)
{
    for (std::size_t count = 320; count <= 345; ++count) {
        const std::string arguments = repeat(count, [](std::size_t number) {
            return "&ref=" + std::to_string(10000000 + number) + "K7K7K7K7K7K7K7K7K";
        });
        const std::string request = head("/find?first" + arguments);
        cr_assert_leq(request.size(), HeadLimit);
        cr_assert(isWholeAnswer(answerTo("127.0.0.1:19874", request)), "%zu arguments", count);
    }
}

// Guards against requests within the limit on headers that are refused, or never answered, because of how their bytes are
// divided into arguments, cookies and headers.
Test(requestlimits, anyDivisionOfAHeadIsAnswered, .timeout = 60)
{
    const auto pair = [](std::size_t) {
        return "a&";
    };
    const auto cookie = [](std::size_t number) {
        return "c" + std::to_string(100000 + number) + "=" + std::string(32, 'v') + ";";
    };
    const auto header = [](std::size_t number) {
        return "h" + std::to_string(number) + ":v\r\n";
    };
    const auto numberedPair = [](std::size_t number) {
        return "id=" + std::to_string(number) + "&";
    };
    const std::string requests[] = {
        head("/x?" + repeat(8000, pair)),
        head("/x?" + repeat(480, numberedPair)),
        head("/x", "Cookie: " + repeat(390, cookie) + "\r\n"),
        head("/x",
             "Cookie: "
                 + repeat(8000,
                          [](std::size_t) {
                              return "a;";
                          })
                 + "\r\n"),
        head("/x", repeat(1700, header)),
        head("/" + std::string(16000, 'p')),
    };
    for (const std::string &request : requests) {
        cr_assert_leq(request.size(), HeadLimit);
        cr_assert(isWholeAnswer(answerTo("127.0.0.1:19875", request)), "%s", request.substr(0, 60).c_str());
    }
}

// Guards against answers that are lost because their headers are large, as those of a searcher that are passed on.
Test(requestlimits, largeAnswerHeadersAreSent, .timeout = 60)
{
    constexpr std::size_t Size = 200000;
    const auto handler = [](const HttpExchangePtr &exchange) {
        exchange->addHeader("Part-Signatures", std::string(Size, 's'));
        exchange->respond(200, "whole");
    };
    const std::string received = serve("127.0.0.1:19876", handler, {}, head("/"), "whole");
    cr_assert(isWholeAnswer(received));
    cr_assert_gt(received.size(), Size);
}

// Guards against a request beyond the configured limit that is not refused, or whose connection stays open in the middle of it.
Test(requestlimits, headBeyondTheLimitIsRefused, .timeout = 60)
{
    ConnectionHooks hooks;
    hooks.limits = [] {
        ClientLimits limits;
        limits.headerBytes = HeadLimit;
        return limits;
    };
    bool handled = false;
    const auto handler = [&handled](const HttpExchangePtr &exchange) {
        handled = true;
        exchange->respond(200, "whole");
    };
    const std::string tooLarge = head("/" + std::string(3 * HeadLimit, 'p'));
    const std::string received = serve("127.0.0.1:19877", handler, hooks, tooLarge, "nothing, but the end of the stream");
    cr_assert(received.starts_with("HTTP/1.1 431 "));
    cr_assert(received.find("\r\nConnection: close\r\n") != std::string::npos);
    cr_assert_not(handled);
}

// Guards against a server that stops to read for good once a client has sent many requests ahead, or answers out of order.
Test(requestlimits, requestsSentAheadAreAnsweredInOrder, .timeout = 60)
{
    constexpr std::size_t Count = 3000;
    const std::string requests = repeat(Count, [](std::size_t number) {
        return head("/" + std::to_string(number));
    });
    EventLoop loop;
    std::size_t answered = 0;
    bool inOrder = true;
    HttpServer server(loop, "127.0.0.1:19878", [&](const HttpExchangePtr &exchange) {
        inOrder = inOrder && exchange->target() == "/" + std::to_string(answered);
        ++answered;
        const auto respond = [&, exchange] {
            exchange->respond(200, answered == Count ? "last" : "next");
        };
        // Some answers are given later, so that more requests arrive meanwhile.
        if (answered % 100 == 1) {
            loop.callAt(Clock::now() + std::chrono::milliseconds(2), respond);
        } else {
            respond();
        }
    });
    std::thread client([&] {
        exchange("127.0.0.1:19878", requests, "last");
        loop.stop();
    });
    loop.run();
    client.join();
    cr_assert_eq(answered, Count);
    cr_assert(inOrder);
}

// Guards against clients that wait for an interim response before they send the body.
Test(requestlimits, bodyIsAskedForOnce, .timeout = 60)
{
    const auto handler = [](const HttpExchangePtr &exchange) {
        exchange->respond(200, "whole");
    };
    const std::string request = "PUT /x HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n";
    cr_assert_eq(serve("127.0.0.1:19879", handler, {}, request, "\r\n\r\n"), "HTTP/1.1 100 Continue\r\n\r\n");
}
