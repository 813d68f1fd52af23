#include "platform/clientprotocol.h"
#include "quetzallift/app/metrics.h"
#include "quetzallift/app/routingthread.h"
#include "quetzallift/edge/socketaddress.h"

#include <criterion/criterion.h>

#include <sys/socket.h>
#include <unistd.h>

#include <string>

using namespace Quetzallift;

namespace
{
using Millis = std::chrono::milliseconds;

constexpr Millis ClientLimit = Millis(4000);
// How far the time limit that a searcher is given may end after the client's.
constexpr Millis Tolerance = Millis(500);

int connectTo(const std::string &address)
{
    const sockaddr_in peer = parseAddress(address);
    const int handle = socket(AF_INET, SOCK_STREAM, 0);
    cr_assert_eq(connect(handle, reinterpret_cast<const sockaddr *>(&peer), sizeof(peer)), 0);
    return handle;
}

// A listening socket whose queue holds a single connection that was not accepted.
int listenAt(const std::string &address)
{
    const sockaddr_in own = parseAddress(address);
    const int handle = socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    setsockopt(handle, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    cr_assert_eq(bind(handle, reinterpret_cast<const sockaddr *>(&own), sizeof(own)), 0);
    cr_assert_eq(listen(handle, 0), 0);
    return handle;
}

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

ControlSnapshotPtr oneSearcher(const std::string &address)
{
    RefPtr<RouteTable> routes(new RouteTable);
    Route route;
    route.name = "one";
    route.host = "h";
    route.pathPrefix = "/";
    route.timeout = ClientLimit;
    route.targetLatency = ClientLimit;
    route.split = {{"desk", 1.0}};
    routes->routes.push_back(route);
    routes->services["desk"] = {100};
    routes->index();
    RefPtr<SearcherTable> searchers(new SearcherTable);
    searchers->entries["x"] = {"x", "desk", address, "a", 2, false, {}, 1};
    RefPtr<ControlSnapshot> snapshot(new ControlSnapshot);
    snapshot->routes = routes;
    snapshot->searchers = searchers;
    return snapshot;
}

// A host's traffic thread with four addresses from the given port on, and a searcher at the fifth.
struct Host {
    explicit Host(unsigned port)
        : searcher("127.0.0.1:" + std::to_string(port + 4))
    {
        const auto address = [port](unsigned offset) {
            return "127.0.0.1:" + std::to_string(port + offset);
        };
        settings.host.name = "n";
        settings.host.address = address(0);
        settings.routes = RouteSettings{address(1), address(2), address(3)};
        listening = listenAt(searcher);
        thread = std::make_unique<RoutingThread>(settings, metrics, Platform::clientProtocol(), [](EventBody) {
        });
        thread->post(ControlSnapshotPublished{oneSearcher(searcher)});
    }

    ~Host()
    {
        thread->finish();
        close(listening);
    }

    Host(const Host &) = delete;
    Host &operator=(const Host &) = delete;

    int sendRequest() const
    {
        const int client = connectTo(settings.host.address);
        const std::string text = "GET /x HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nDeadline-Ms: " + std::to_string(ClientLimit.count()) + "\r\n\r\n";
        ::send(client, text.data(), text.size(), MSG_NOSIGNAL);
        return client;
    }

    std::string searcher;
    int listening = -1;
    Settings settings;
    Metrics metrics;
    std::unique_ptr<RoutingThread> thread;
};
}

// Guards against a searcher that is given the time which passed while the connection to it was opened: hosts stated more
// than half a second too much while a large configuration kept them busy.
Test(timelimit, excludesTheTimeToConnect, .timeout = 30)
{
    Host host(19901);
    // With a connection in the queue the host's first attempt to connect is dropped, and repeated by the kernel after 1 s.
    const int blocking = connectTo(host.searcher);
    host.thread->start();
    const TimePoint sentAt = Clock::now();
    const int client = host.sendRequest();
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
    Host host(19911);
    const TimePoint sentAt = Clock::now();
    const int client = host.sendRequest();
    usleep(1000000);
    host.thread->start();
    const int connection = accept(host.listening, nullptr, nullptr);
    const Millis stated = readTimeLimit(connection);
    const auto elapsed = std::chrono::duration_cast<Millis>(Clock::now() - sentAt);
    cr_assert_leq((stated + elapsed).count(), (ClientLimit + Tolerance).count());
    close(connection);
    close(client);
}
