#pragma once

#include "quetzallift/model/routetable.h"
#include "quetzallift/model/time.h"
#include "quetzallift/query/hedgedelay.h"
#include "quetzallift/query/querylimit.h"
#include "quetzallift/query/replicachoice.h"
#include "quetzallift/query/window.h"
#include "quetzallift/routing/merge.h"

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
    // Chooses one of the replicas that may get a sub-request; gets the random hook.
    std::function<std::size_t(const std::vector<ReplicaCandidate> &, const std::function<std::uint64_t()> &)> chooseReplica = leastExpectedTime;
    // How many sub-requests may be in flight at a searcher.
    std::function<Window(const WindowSample &)> searcherWindow = adaptWindow;
    // How many queries to a back end may run at a time.
    std::function<double(const QueryLimitSample &)> queryLimit = adaptQueryLimit;
    // Whether a query that is expected to take this long may still run with this deadline.
    std::function<bool(Duration expected, Duration deadline)> meetsDeadline = fitsDeadline;

    // The wall-clock time, for what other machines and people read. No decision about a query depends on it.
    std::function<WallTime()> wallNow = [] {
        return WallTime();
    };

    // Reads the operator's document that a peer passed on; null if it cannot be read.
    std::function<RouteTablePtr(const std::string &document)> readRoutes = [](const std::string &) {
        return RouteTablePtr();
    };

    // Says why a bundle must not be adopted; empty if its approval is valid. Hooks without a check accept every bundle;
    // an entry host always sets one.
    std::function<std::string(const RolloutRecord &, const Bundle &)> refusalOf = [](const RolloutRecord &, const Bundle &) {
        return std::string();
    };

    // Makes the body of a scattered request's answer from the bodies of its parts, with at most so many records.
    std::function<std::string(const std::vector<std::string_view> &parts, std::size_t limit)> mergeParts = greatestRecords;

    // How long an attempt may wait before another replica is asked too; empty means that no other replica is asked.
    std::function<std::optional<Duration>(const LatencyEstimate &, const BackEndPolicy &)> hedgeDelay = adaptiveHedgeDelay;
};
}
