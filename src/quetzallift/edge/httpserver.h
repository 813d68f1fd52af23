#pragma once

#include "quetzallift/edge/connectionhooks.h"
#include "quetzallift/edge/httpexchange.h"

#include <functional>
#include <memory>
#include <string>

namespace Quetzallift
{
class EventLoop;

// Serves HTTP on one address with libmicrohttpd, driven by the reactor of one thread. Several servers may share an
// address; the kernel spreads connections over them.
class HttpServer
{
public:
    // Called once for each complete request, on the thread of the loop.
    using Handler = std::function<void(HttpExchangePtr)>;

    // Listens on "ip:port". Throws Error if the address cannot be used.
    HttpServer(EventLoop &loop, const std::string &address, Handler handler, ConnectionHooks hooks = {});
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    // Accepts no more connections; open ones are served on.
    void stopListening();

private:
    class Daemon;
    std::unique_ptr<Daemon> m_daemon;
};
}
