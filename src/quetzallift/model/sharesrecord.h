#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Quetzallift
{
// An entry host process that holds a share of the searchers' connections.
struct SharesHost {
    std::string name;
    // The process number of the host's incarnation: a restarted host holds no share until an epoch lists its new process.
    std::uint64_t process = 0;
    // The weight of the host's share, relative to the other hosts.
    unsigned part = 1;

    bool operator==(const SharesHost &) const = default;
};

// One division of the connections among hosts, which are ordered by name.
struct SharesEpoch {
    std::uint64_t epoch = 0;
    std::vector<SharesHost> hosts;
};

// The platform object "shares": the division in force and the earlier divisions that a host may still apply.
struct SharesRecord {
    SharesEpoch current;
    std::vector<SharesEpoch> earlier;
};
}
