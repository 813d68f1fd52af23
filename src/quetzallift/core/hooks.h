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

// Replaceable functions of the decision code, among them its only source of randomness.
struct Hooks {
    // Returns a uniformly distributed number.
    std::function<std::uint64_t()> random = [] {
        return std::uint64_t{0};
    };
    // Returns the index of the replica that receives a sub-request; the second argument is the random hook.
    std::function<std::size_t(const std::vector<ReplicaCandidate> &, const std::function<std::uint64_t()> &)> chooseReplica = leastExpectedTime;
    // Returns how many sub-requests may be in flight at a searcher.
    std::function<Window(const WindowSample &)> searcherWindow = adaptWindow;
    // Returns how many queries to a back end may run at the same time.
    std::function<double(const QueryLimitSample &)> queryLimit = adaptQueryLimit;
    // Returns whether a query with this expected duration can still meet its deadline.
    std::function<bool(Duration expected, Duration deadline)> meetsDeadline = fitsDeadline;

    // Returns the wall-clock time, for data that other machines and people read. No decision about a query depends on it.
    std::function<WallTime()> wallNow = [] {
        return WallTime();
    };

    // Parses the operator's document relayed by a peer; null if the document is invalid.
    std::function<RouteTablePtr(const std::string &document)> parseRoutes = [](const std::string &) {
        return RouteTablePtr();
    };

    // Returns why a bundle must not be adopted; empty if its approval is valid. The default accepts every bundle; an entry
    // host always sets a check.
    std::function<std::string(const RolloutRecord &, const Bundle &)> verifyApproval = [](const RolloutRecord &, const Bundle &) {
        return std::string();
    };

    // Merges the bodies of a scattered request's parts into the body of the answer, with at most `limit` records.
    std::function<std::string(const std::vector<std::string_view> &parts, std::size_t limit)> mergeParts = greatestRecords;

    // Returns how long an attempt may wait before a hedge is sent to another replica; empty if no hedge may be sent.
    std::function<std::optional<Duration>(const LatencyEstimate &, const BackEndPolicy &)> hedgeDelay = adaptiveHedgeDelay;
};
}
