#include "tests/platform/trafficfixture.h"

using namespace Quetzallift;

namespace
{
constexpr Duration RouteTimeout = std::chrono::seconds(10);

std::string requestOfSize(std::size_t size)
{
    const std::string start = "GET /";
    const std::string end = " HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n\r\n";
    return start + std::string(size - start.size() - end.size(), 'p') + end;
}

std::string receive(int connection, std::size_t size)
{
    std::string received(size, '\0');
    const ssize_t got = recv(connection, received.data(), size, MSG_WAITALL);
    received.resize(got > 0 ? static_cast<std::size_t>(got) : 0);
    return received;
}
}

// Guards against requests within the limit of the configuration that are refused, because the server has a limit of its own.
Test(headlimit, configurationSetsTheLimit, .timeout = 30)
{
    ClientLimits limits;
    limits.headerBytes = 100000;
    TrafficHost host(19921, RouteTimeout, limits);
    host.thread->start();
    const std::string request = requestOfSize(limits.headerBytes);
    const int client = host.sendToHost(request);
    const int searcher = accept(host.listening, nullptr, nullptr);
    const std::string requestLine = request.substr(0, request.find("\r\n"));
    cr_assert_eq(receive(searcher, requestLine.size()), requestLine);
    close(searcher);
    close(client);
}

// Guards against requests beyond the limit of the configuration that are passed on.
Test(headlimit, largerRequestsAreRefused, .timeout = 30)
{
    constexpr std::string_view Refusal = "HTTP/1.1 431 ";
    ClientLimits limits;
    limits.headerBytes = 2000;
    TrafficHost host(19931, RouteTimeout, limits);
    host.thread->start();
    const int client = host.sendToHost(requestOfSize(limits.headerBytes + 1));
    cr_assert_eq(receive(client, Refusal.size()), Refusal);
    close(client);
}
