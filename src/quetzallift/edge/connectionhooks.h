#pragma once

#include "quetzallift/edge/clientmemory.h"
#include "quetzallift/model/clientrejection.h"
#include "quetzallift/model/routetable.h"

#include <cstddef>
#include <functional>
#include <string>

namespace Quetzallift
{
// Hooks by which the owner of an HttpServer limits and counts its connections. Empty hooks are not called.
struct ConnectionHooks {
    // Returns false to close a new connection before anything is read from it.
    std::function<bool()> accept;
    // Called with the remote address as "ip:port".
    std::function<void(const std::string &peer)> opened;
    std::function<void(const std::string &peer)> closed;
    // What a client may send now, and how long it may take. If the hook is empty, a head has at most 32 KiB and a body 1 MiB.
    std::function<ClientLimits()> limits;
    // Called if a request is refused before it is complete, or a connection is closed to make room for another.
    std::function<void(ClientRejection)> rejected;
};

// What the connections of an HttpServer may take of the process.
struct ServerResources {
    // The number of open connections. Beyond it, the one that has been waiting for its client the longest is closed.
    std::size_t connections = 2000;
    // Limits the bytes of the connections, with those of other servers of the thread; null for no limit.
    ClientMemoryPtr memory = nullptr;
};
}
