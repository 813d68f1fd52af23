#pragma once

#include "platform/clientprotocol.h"
#include "quetzallift/app/metrics.h"
#include "quetzallift/app/routingthread.h"
#include "quetzallift/edge/socketaddress.h"

#include <criterion/criterion.h>

#include <sys/socket.h>
#include <unistd.h>

#include <memory>
#include <string>

namespace Quetzallift
{
inline int connectTo(const std::string &address)
{
    const sockaddr_in peer = parseAddress(address);
    const int handle = socket(AF_INET, SOCK_STREAM, 0);
    cr_assert_eq(connect(handle, reinterpret_cast<const sockaddr *>(&peer), sizeof(peer)), 0);
    return handle;
}

// A listening socket whose queue holds a single connection that was not accepted.
inline int listenAt(const std::string &address)
{
    const sockaddr_in own = parseAddress(address);
    const int handle = socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    setsockopt(handle, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    cr_assert_eq(bind(handle, reinterpret_cast<const sockaddr *>(&own), sizeof(own)), 0);
    cr_assert_eq(listen(handle, 0), 0);
    return handle;
}

// A configuration with one route, whose service has one searcher.
inline ControlSnapshotPtr oneSearcher(const std::string &address, Duration timeout, const ClientLimits &limits)
{
    RefPtr<RouteTable> routes(new RouteTable);
    Route route;
    route.name = "one";
    route.host = "h";
    route.pathPrefix = "/";
    route.timeout = timeout;
    route.targetLatency = timeout;
    route.split = {{"desk", 1.0}};
    routes->routes.push_back(route);
    routes->services["desk"] = {100};
    routes->limits = limits;
    routes->index();
    RefPtr<SearcherTable> searchers(new SearcherTable);
    searchers->entries["x"] = {"x", "desk", address, "a", 2, false, {}, 1};
    RefPtr<ControlSnapshot> snapshot(new ControlSnapshot);
    snapshot->routes = routes;
    snapshot->searchers = searchers;
    return snapshot;
}

// A host's traffic thread with four addresses from the given port on, and a searcher at the fifth.
struct TrafficHost {
    TrafficHost(unsigned port, Duration timeout, const ClientLimits &limits = {})
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
        thread->post(ControlSnapshotPublished{oneSearcher(searcher, timeout, limits)});
    }

    ~TrafficHost()
    {
        thread->finish();
        close(listening);
    }

    TrafficHost(const TrafficHost &) = delete;
    TrafficHost &operator=(const TrafficHost &) = delete;

    // Sends the bytes on a new connection, and returns it.
    int sendToHost(const std::string &text) const
    {
        const int client = connectTo(settings.host.address);
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
