#pragma once

#include "quetzallift/model/time.h"

#include <cstdint>
#include <functional>

namespace Quetzallift
{
// Behaviour that varies, and the only source of randomness for decisions.
struct Hooks {
    // A uniformly distributed number.
    std::function<std::uint64_t()> random = [] {
        return std::uint64_t{0};
    };

    // The wall-clock time, for what other machines and people read. No decision about a query depends on it.
    std::function<WallTime()> wallNow = [] {
        return WallTime();
    };
};
}
