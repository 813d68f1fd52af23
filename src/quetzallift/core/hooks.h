#pragma once

#include "quetzallift/model/time.h"
#include "quetzallift/query/hedgedelay.h"

#include <cstdint>
#include <functional>
#include <optional>

namespace Quetzallift
{
// Behaviour that varies, and the only source of randomness for decisions.
struct Hooks {
    // A uniformly distributed number.
    std::function<std::uint64_t()> random = [] {
        return std::uint64_t{0};
    };
    // How long an attempt may wait before another replica is asked too; empty means that no other replica is asked.
    std::function<std::optional<Duration>(const LatencyEstimate &, const BackEndPolicy &)> hedgeDelay = learnedHedgeDelay;
};
}
