#pragma once

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
    // The greatest size of a request line and its headers together, in bytes; 32 KiB if the hook is empty. Larger requests are
    // answered 431.
    std::function<std::size_t()> headLimit;
};
}
