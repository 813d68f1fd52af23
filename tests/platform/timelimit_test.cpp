#include "tests/platform/trafficfixture.h"

using namespace Quetzallift;

namespace
{
using Millis = std::chrono::milliseconds;

constexpr Millis ClientLimit = Millis(4000);
// How far the time limit that a searcher is given may end after the client's.
constexpr Millis Tolerance = Millis(500);

// The time limit in the head of the next request on the connection.
Millis readTimeLimit(int connection)
{
    constexpr const char *Name = "Deadline-Ms: ";
    std::string head;
    char buffer[4096];
    while (head.find("\r\n\r\n") == std::string::npos) {
        const ssize_t size = recv(connection, buffer, sizeof(buffer), 0);
        cr_assert_gt(size, 0);
        head.append(buffer, static_cast<std::size_t>(size));
    }
    cr_assert(head.find(Name) != std::string::npos);
    return Millis(std::stol(head.substr(head.find(Name) + std::string(Name).size())));
}

int sendRequest(const TrafficHost &host)
{
    return host.sendToHost("GET /x HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nDeadline-Ms: " + std::to_string(ClientLimit.count()) + "\r\n\r\n");
}
}

// Guards against a searcher that is given the time which passed while the connection to it was opened: hosts stated more
// than half a second too much while a large configuration kept them busy.
Test(timelimit, excludesTheTimeToConnect, .timeout = 30)
{
    TrafficHost host(19901, ClientLimit);
    // With a connection in the queue the host's first attempt to connect is dropped, and repeated by the kernel after 1 s.
    const int blocking = connectTo(host.searcher);
    host.thread->start();
    const TimePoint sentAt = Clock::now();
    const int client = sendRequest(host);
    usleep(500000);
    close(accept(host.listening, nullptr, nullptr));
    const int connection = accept(host.listening, nullptr, nullptr);
    const Millis stated = readTimeLimit(connection);
    const auto elapsed = std::chrono::duration_cast<Millis>(Clock::now() - sentAt);
    cr_assert_gt(elapsed.count(), Tolerance.count(), "the connection was not delayed");
    cr_assert_leq((stated + elapsed).count(), (ClientLimit + Tolerance).count());
    close(blocking);
    close(connection);
    close(client);
}

// Guards against a searcher that is given the time for which the request waited in the socket of a busy host.
Test(timelimit, excludesTheTimeUntilTheRequestIsRead, .timeout = 30)
{
    TrafficHost host(19911, ClientLimit);
    const TimePoint sentAt = Clock::now();
    const int client = sendRequest(host);
    usleep(1000000);
    host.thread->start();
    const int connection = accept(host.listening, nullptr, nullptr);
    const Millis stated = readTimeLimit(connection);
    const auto elapsed = std::chrono::duration_cast<Millis>(Clock::now() - sentAt);
    cr_assert_leq((stated + elapsed).count(), (ClientLimit + Tolerance).count());
    close(connection);
    close(client);
}
