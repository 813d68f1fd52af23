#include "tests/platform/trafficfixture.h"

#include <sys/time.h>

#include <thread>

using namespace Quetzallift;

namespace
{
constexpr Duration RouteTimeout = std::chrono::seconds(10);
constexpr std::size_t BodyLimit = 1000;
constexpr Duration ShortTimeout = std::chrono::milliseconds(200);

ClientLimits limits()
{
    ClientLimits limits;
    limits.bodyBytes = BodyLimit;
    return limits;
}

std::string requestWithBody(std::size_t size)
{
    return "POST /x HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n" + std::string(size, 'b');
}

// Reads until the text, the end of the stream, or a limit against a test that hangs.
std::string receiveUntil(int connection, const std::string &text)
{
    const timeval limit{20, 0};
    setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    std::string received;
    char buffer[4096];
    while (received.find(text) == std::string::npos) {
        const ssize_t size = recv(connection, buffer, sizeof(buffer), 0);
        if (size <= 0) {
            return received + (size == 0 ? "(end)" : "(nothing)");
        }
        received.append(buffer, static_cast<std::size_t>(size));
    }
    return received;
}

bool reachesSearcher(const TrafficHost &host)
{
    const int searcher = accept(host.listening, nullptr, nullptr);
    const std::string received = receiveUntil(searcher, "\r\n\r\n");
    close(searcher);
    return received.starts_with("POST /x ");
}
}

// Guards against a limit on bodies in the configuration that is not kept, or that refuses a body of just this size.
Test(clientlimits, bodiesAreLimitedAsConfigured)
{
    TrafficHost host(19981, RouteTimeout, limits());
    host.thread->start();
    const int within = host.sendToHost(requestWithBody(BodyLimit));
    cr_assert(reachesSearcher(host));
    const int beyond = host.sendToHost(requestWithBody(BodyLimit + 1));
    cr_assert(receiveUntil(beyond, "\r\n\r\n").starts_with("HTTP/1.1 413 "));
    close(within);
    close(beyond);
}

// Guards against limits that stay as they were when the configuration changes.
Test(clientlimits, followTheConfiguration)
{
    TrafficHost host(19991, RouteTimeout, limits());
    host.thread->start();
    ClientLimits raised = limits();
    raised.bodyBytes = 2 * BodyLimit;
    host.thread->post(ControlSnapshotPublished{oneSearcher(host.searcher, RouteTimeout, raised)});
    const int client = host.sendToHost(requestWithBody(BodyLimit + 1));
    cr_assert(reachesSearcher(host));
    close(client);
}

// Guards against clients that hold a connection with a head that they never finish, also if they go on sending.
Test(clientlimits, headsThatTakeTooLongAreRefused)
{
    ClientLimits limits;
    limits.headerTimeout = ShortTimeout;
    TrafficHost host(20001, RouteTimeout, limits);
    host.thread->start();
    const int client = host.sendToHost("GET /x HTTP/1.1\r\nX: ");
    char byte = 0;
    while (recv(client, &byte, 1, MSG_DONTWAIT | MSG_PEEK) < 0) {
        ::send(client, "x", 1, MSG_NOSIGNAL);
        usleep(20000);
    }
    cr_assert(receiveUntil(client, "\r\n\r\n").starts_with("HTTP/1.1 408 "));
    close(client);
}

// Guards against clients that hold a body that they do not go on with.
Test(clientlimits, silentBodiesAreRefused)
{
    ClientLimits limits;
    limits.idleTimeout = ShortTimeout;
    TrafficHost host(20011, RouteTimeout, limits);
    host.thread->start();
    const std::string request = requestWithBody(BodyLimit);
    const int client = host.sendToHost(request.substr(0, request.size() - 1));
    cr_assert(receiveUntil(client, "\r\n\r\n").starts_with("HTTP/1.1 408 "));
    close(client);
}

// Guards against idle connections that stay open for longer than the configuration says.
Test(clientlimits, idleConnectionsAreClosed)
{
    ClientLimits limits;
    limits.idleTimeout = ShortTimeout;
    TrafficHost host(20021, RouteTimeout, limits);
    host.thread->start();
    const int client = host.sendToHost("GET /none HTTP/1.1\r\nHost: other\r\n\r\n");
    const std::string received = receiveUntil(client, "never sent");
    cr_assert(received.starts_with("HTTP/1.1 404 "));
    cr_assert(received.ends_with("(end)"));
    close(client);
}

// Guards against an empty line after a request that counts as the start of the next one, which is then too slow.
Test(clientlimits, emptyLinesBeginNoRequest)
{
    ClientLimits limits;
    limits.headerTimeout = ShortTimeout;
    TrafficHost host(20041, RouteTimeout, limits);
    host.thread->start();
    const std::string request = "GET /none HTTP/1.1\r\nHost: other\r\n\r\n";
    const int client = host.sendToHost(request + "\r\n");
    cr_assert(receiveUntil(client, "\r\n\r\n").starts_with("HTTP/1.1 404 "));
    std::this_thread::sleep_for(3 * ShortTimeout);
    ::send(client, request.data(), request.size(), MSG_NOSIGNAL);
    std::string next = receiveUntil(client, "HTTP/1.1 ") + receiveUntil(client, "\r\n\r\n");
    cr_assert(next.find("HTTP/1.1 404 ") != std::string::npos, "%s", next.c_str());
    close(client);
}
