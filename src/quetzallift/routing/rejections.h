#pragma once

#include "quetzallift/model/clientrejection.h"
#include "quetzallift/model/time.h"

#include <cstdint>
#include <map>

namespace Quetzallift
{
// The requests and connections that were rejected since the last line of the log about them.
struct Rejections {
    std::map<ClientRejection, std::uint64_t> counts;
    // The earliest time of the next line.
    TimePoint nextLogAt;
};
}
