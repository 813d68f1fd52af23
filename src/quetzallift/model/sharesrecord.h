#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Quetzallift
{
// A process that holds a part of the searchers' connections.
struct SharesHost {
    std::string name;
    // The process number of its incarnation: a restarted host holds nothing until an epoch lists its new process.
    std::uint64_t process = 0;
    // Its part, relative to the parts of the other hosts.
    unsigned part = 1;

    bool operator==(const SharesHost &) const = default;
};

// One division of the connections among hosts, ordered by name.
struct SharesEpoch {
    std::uint64_t epoch = 0;
    std::vector<SharesHost> hosts;
};

// The platform object "shares": the division in force and the earlier ones that some host may still follow.
struct SharesRecord {
    SharesEpoch current;
    std::vector<SharesEpoch> earlier;
};
}
