#pragma once

#include "quetzallift/model/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

namespace Quetzallift
{
// A replica that may get a sub-request, as replica choice sees it.
struct ReplicaCandidate {
    // Recent latency, or the time for which the searcher has been silent if that is longer.
    Duration latency = Duration::zero();
    // Share of recent sub-requests that failed.
    double errorRate = 0.0;
    // Sub-requests in flight and queued for the searcher.
    unsigned load = 0;
    // Sub-requests that the searcher takes at a time.
    double window = 1.0;
    // Time for opening a connection; zero if an idle one is there.
    Duration connectionCost = Duration::zero();
    // True if the searcher is in the data centre of this host.
    bool near = false;
};

// The time after which a reply is expected, the queue included.
Duration expectedTime(const ReplicaCandidate &candidate);

// The candidate with the least expected time; far ones cost more, and a tie is broken at random. Returns its index.
std::size_t leastExpectedTime(const std::vector<ReplicaCandidate> &candidates, const std::function<std::uint64_t()> &random);

// The less loaded of two random candidates. For comparison.
std::size_t powerOfTwoChoices(const std::vector<ReplicaCandidate> &candidates, const std::function<std::uint64_t()> &random);

// Any candidate. For comparison.
std::size_t randomReplica(const std::vector<ReplicaCandidate> &candidates, const std::function<std::uint64_t()> &random);
}
