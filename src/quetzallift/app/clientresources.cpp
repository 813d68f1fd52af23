#include "quetzallift/app/clientresources.h"

namespace Quetzallift
{
namespace
{
// The parts of the memory for clients' bytes, and for incomplete responses of searchers.
constexpr std::size_t MemoryDivisor = 8;
}

ClientResources::ClientResources(const Settings &settings)
{
    const std::size_t bytes = settings.resources.memoryBytes / MemoryDivisor / settings.host.trafficThreads;
    memory = new ClientMemory(bytes);
    responseBytes = bytes;
}

ServerResources ClientResources::server() const
{
    return {memory};
}
}
