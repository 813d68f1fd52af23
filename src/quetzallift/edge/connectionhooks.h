#pragma once

#include <functional>
#include <string>

namespace Quetzallift
{
// Lets the owner of an HttpServer limit and count its connections. Empty functions are not called.
struct ConnectionHooks {
    // False closes a new connection before anything is read from it.
    std::function<bool()> accept;
    // Called with the remote "ip:port".
    std::function<void(const std::string &peer)> opened;
    std::function<void(const std::string &peer)> closed;
};
}
