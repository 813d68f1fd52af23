#pragma once

#include "quetzallift/model/time.h"
#include "quetzallift/query/hedgedelay.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace Quetzallift
{
struct Bundle;
struct RolloutRecord;

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

    // Says why a bundle must not be adopted; empty if its approval is valid. Hooks without a check accept every bundle;
    // an entry host always sets one.
    std::function<std::string(const RolloutRecord &, const Bundle &)> refusalOf = [](const RolloutRecord &, const Bundle &) {
        return std::string();
    };

    // How long an attempt may wait before another replica is asked too; empty means that no other replica is asked.
    std::function<std::optional<Duration>(const LatencyEstimate &, const BackEndPolicy &)> hedgeDelay = learnedHedgeDelay;
};
}
