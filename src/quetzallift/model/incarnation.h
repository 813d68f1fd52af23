#pragma once

#include <compare>
#include <cstdint>

namespace Quetzallift
{
// Orders the membership updates about one host. A higher process number means that the host was restarted; a higher
// refutation number means that the same process refuted an earlier update.
struct Incarnation {
    // Unix time in seconds at which the process started; set above the process number of any higher incarnation that a
    // peer knows for this host.
    std::uint64_t process = 0;
    std::uint64_t refutation = 0;

    auto operator<=>(const Incarnation &) const = default;
};
}
