#include "tests/platform/trafficfixture.h"

#include <array>
#include <vector>

using namespace Quetzallift;

namespace
{
constexpr Duration RouteTimeout = std::chrono::seconds(10);

// Bounds each call that waits on the socket, beyond the time limit of the request.
void limitWaits(int socket)
{
    const timeval limit{20, 0};
    cr_assert_eq(setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit)), 0);
}

std::string receiveUntil(int connection, const std::string &end)
{
    std::string received;
    std::array<char, 4096> buffer{};
    while (received.find(end) == std::string::npos) {
        const ssize_t size = recv(connection, buffer.data(), buffer.size(), 0);
        if (size <= 0) {
            break;
        }
        received.append(buffer.data(), static_cast<std::size_t>(size));
    }
    return received;
}

// What the client gets when the searcher answers its request with the given bytes and keeps the connection open.
std::string answerToClient(unsigned port, const std::string &bytes)
{
    TrafficHost host(port, RouteTimeout);
    host.thread->start();
    const int client = host.sendToHost("GET /x HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nDeadline-Ms: 9000\r\nConnection: close\r\n\r\n");
    limitWaits(client);
    limitWaits(host.listening);
    const int searcher = accept(host.listening, nullptr, nullptr);
    cr_assert_geq(searcher, 0);
    limitWaits(searcher);
    receiveUntil(searcher, "\r\n\r\n");
    ::send(searcher, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    const std::string answer = receiveUntil(client, "\r\n\r\n");
    close(searcher);
    close(client);
    return answer;
}

const std::string Fields = "Server-Stamp: x\r\nRequest-Id: r1\r\nContent-Length: 3\r\n";
}

// Guards against an answer with a status that HTTP does not have: it is passed on, or the request waits until its time is over.
Test(malformedanswer, statusZeroIsAFailureAtOnce)
{
    unsigned port = 19951;
    for (const std::string &bytes : {"HTTP/1.1 000 Odd\r\n" + Fields + "\r\nabc", "HTTP/1.1 000 Odd\r\n\r\nHTTP/1.1 200 OK\r\n" + Fields + "\r\nabc"}) {
        const std::string answer = answerToClient(port, bytes);
        cr_assert(answer.starts_with("HTTP/1.1 502 "), "%s", answer.c_str());
        port += 5;
    }
}

// Guards against an answer whose head has a field name with a blank or a control byte: the line is passed on to the client.
Test(malformedanswer, invalidFieldNamesAreAFailure)
{
    unsigned port = 19961;
    for (const std::string &line : std::vector<std::string>{"X Odd: 1", "X-Odd : 1", " X-Odd: 1", "X\x01Odd: 1", "X\x7fOdd: 1", "Content-Length : 1"}) {
        const std::string answer = answerToClient(port, "HTTP/1.1 200 OK\r\n" + line + "\r\n" + Fields + "\r\nabc");
        cr_assert(answer.starts_with("HTTP/1.1 502 "), "%s", answer.c_str());
        port += 5;
    }
    const std::string proper = answerToClient(port, "HTTP/1.1 200 OK\r\nX-Odd: 1\r\n" + Fields + "\r\nabc");
    cr_assert(proper.starts_with("HTTP/1.1 200 "), "%s", proper.c_str());
}

// Guards against a status with zeros before it, which reached the client as a success.
Test(malformedanswer, statusOfFourDigitsIsAFailure)
{
    const std::string answer = answerToClient(20031, "HTTP/1.1 0200 OK\r\n" + Fields + "\r\nabc");
    cr_assert(answer.starts_with("HTTP/1.1 502 "), "%s", answer.c_str());
}
