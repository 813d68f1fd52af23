#pragma once

#include "quetzallift/app/settings.h"
#include "quetzallift/edge/connectionhooks.h"

#include <cstddef>

namespace Quetzallift
{
// What the clients of one traffic thread may take of the host.
struct ClientResources {
    explicit ClientResources(const Settings &settings);

    // The resources of one server of the thread; all share the memory.
    ServerResources server() const;

    ClientMemoryPtr memory;
    // The bytes of responses that the connections to searchers hold.
    std::size_t responseBytes = 0;
};
}
