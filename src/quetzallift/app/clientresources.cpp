#include "quetzallift/app/clientresources.h"

#include <sys/resource.h>

#include <algorithm>

namespace Quetzallift
{
namespace
{
// The parts of the memory for clients' bytes, and for incomplete responses of searchers.
constexpr std::size_t MemoryDivisor = 8;
// The parts of the file descriptors for the connections of each kind.
constexpr std::size_t RequestsDivisor = 2;
constexpr std::size_t DirectoryDivisor = 8;
constexpr std::size_t PagesDivisor = 64;
constexpr std::size_t MinimumConnections = 4;

// The settings may state more than the process is allowed to open.
std::size_t availableDescriptors(const Settings &settings)
{
    rlimit limit{};
    const bool known = getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY;
    return known ? std::min<std::size_t>(settings.resources.fileDescriptors, limit.rlim_cur) : settings.resources.fileDescriptors;
}
}

ClientResources::ClientResources(const Settings &settings)
{
    const std::size_t threads = settings.host.trafficThreads;
    const std::size_t bytes = settings.resources.memoryBytes / MemoryDivisor / threads;
    memory = new ClientMemory(bytes);
    responseBytes = bytes;
    const std::size_t descriptors = availableDescriptors(settings) / threads;
    const auto connections = [descriptors](std::size_t divisor) {
        return std::max(descriptors / divisor, MinimumConnections);
    };
    requestConnections = connections(RequestsDivisor);
    directoryConnections = connections(DirectoryDivisor);
    pageConnections = connections(PagesDivisor);
}

ServerResources ClientResources::serverWith(std::size_t connections) const
{
    return {connections, memory};
}
}
