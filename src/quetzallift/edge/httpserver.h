#pragma once

#include "quetzallift/edge/connectionhooks.h"
#include "quetzallift/edge/httpexchange.h"

#include <functional>
#include <memory>
#include <string>

namespace Quetzallift
{
class EventLoop;

// Serves HTTP on one address, driven by the reactor of one thread. Several servers may listen on the same address; the kernel
// distributes the connections among them.
class HttpServer
{
public:
    // Called once for each complete request, on the loop's thread.
    using Handler = std::function<void(HttpExchangePtr)>;

    // Listens on "ip:port". Throws Error if the address is invalid or cannot be bound.
    HttpServer(EventLoop &loop, const std::string &address, Handler handler, ConnectionHooks hooks = {}, ServerResources resources = {});
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    // Accepts no more connections; requests on open connections are still served.
    void stopListening();

private:
    class Listener;
    std::unique_ptr<Listener> m_listener;
};
}
