#pragma once

#include "quetzallift/model/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

namespace Quetzallift
{
// Input of replica choice for one replica.
struct ReplicaCandidate {
    // Recent latency, or the time for which the searcher has had work and sent no reply if that is longer.
    Duration latency = Duration::zero();
    // Fraction of recent sub-requests that failed.
    double errorRate = 0.0;
    // Sub-requests in flight and queued for the searcher.
    unsigned load = 0;
    // Maximum number of sub-requests in flight at the searcher.
    double window = 1.0;
    // Time for opening a connection; zero if there is an idle one.
    Duration connectionCost = Duration::zero();
    // True if the searcher is in the data centre of this host.
    bool near = false;
};

// The expected time until a reply, including the time in the queue.
Duration expectedTime(const ReplicaCandidate &candidate);

// Index of the candidate with the lowest cost: the expected time, increased for errors and for replicas in other data
// centres. Ties are broken at random.
std::size_t leastExpectedTime(const std::vector<ReplicaCandidate> &candidates, const std::function<std::uint64_t()> &random);

// Index of the less loaded of two random candidates. For comparison measurements.
std::size_t powerOfTwoChoices(const std::vector<ReplicaCandidate> &candidates, const std::function<std::uint64_t()> &random);

// Index of a random candidate. For comparison measurements.
std::size_t randomReplica(const std::vector<ReplicaCandidate> &candidates, const std::function<std::uint64_t()> &random);
}
