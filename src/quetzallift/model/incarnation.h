#pragma once

#include <compare>
#include <cstdint>

namespace Quetzallift
{
// Orders what is said about one host. A higher process number means that the host was restarted; a higher refutation
// number means that the same process contradicted what was said about it.
struct Incarnation {
    // Seconds since the epoch at which the process started, or more if a peer knows a higher one.
    std::uint64_t process = 0;
    std::uint64_t refutation = 0;

    auto operator<=>(const Incarnation &) const = default;
};
}
