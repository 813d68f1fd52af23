#pragma once

#include "quetzallift/app/settings.h"
#include "quetzallift/edge/connectionhooks.h"

#include <cstddef>

namespace Quetzallift
{
// What the clients of one traffic thread may take of the host. The threads' parts together leave most of the host to
// connections to searchers, the tables and the answers.
struct ClientResources {
    explicit ClientResources(const Settings &settings);

    // The resources of one server of the thread; all share the memory.
    ServerResources serverWith(std::size_t connections) const;

    ClientMemoryPtr memory;
    // The bytes of responses that the connections to searchers hold.
    std::size_t responseBytes = 0;
    // The connections of clients that send requests, of those that ask for addresses, and to pages of this host's own.
    std::size_t requestConnections = 0;
    std::size_t directoryConnections = 0;
    std::size_t pageConnections = 0;
};
}
