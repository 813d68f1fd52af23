#include "quetzallift/query/replicachoice.h"

#include <algorithm>

namespace Quetzallift
{
namespace
{
// Links between data centres cost money and lose packets: the cost of a far replica is raised by a quarter.
constexpr double FarFactor = 1.25;
// Keeps the cost of a replica that always fails finite, so that it compares with that of a slow one.
constexpr double MinimumSuccessRate = 0.05;
// Differences below a tenth are noise; a random choice among such candidates keeps hosts from all using the same one.
constexpr double TieFactor = 1.1;
// Added to every expected time so that idle replicas with sub-millisecond latency count as tied.
constexpr Duration CostFloor = std::chrono::microseconds(200);

double costOf(const ReplicaCandidate &candidate)
{
    const auto time = static_cast<double>((expectedTime(candidate) + CostFloor).count());
    return time * (candidate.near ? 1.0 : FarFactor) / std::max(MinimumSuccessRate, 1.0 - candidate.errorRate);
}
}

Duration expectedTime(const ReplicaCandidate &candidate)
{
    const double rounds = 1.0 + candidate.load / std::max(candidate.window, 1.0);
    return std::chrono::duration_cast<Duration>(candidate.latency * rounds) + candidate.connectionCost;
}

std::size_t leastExpectedTime(const std::vector<ReplicaCandidate> &candidates, const std::function<std::uint64_t()> &random)
{
    std::vector<double> costs;
    std::transform(candidates.begin(), candidates.end(), std::back_inserter(costs), costOf);
    const double limit = *std::min_element(costs.begin(), costs.end()) * TieFactor;
    std::vector<std::size_t> tied;
    for (std::size_t index = 0; index < costs.size(); ++index) {
        if (costs[index] <= limit) {
            tied.push_back(index);
        }
    }
    return tied.size() == 1 ? tied.front() : tied[random() % tied.size()];
}

std::size_t powerOfTwoChoices(const std::vector<ReplicaCandidate> &candidates, const std::function<std::uint64_t()> &random)
{
    const std::size_t first = random() % candidates.size();
    const std::size_t second = random() % candidates.size();
    return candidates[second].load < candidates[first].load ? second : first;
}

std::size_t randomReplica(const std::vector<ReplicaCandidate> &candidates, const std::function<std::uint64_t()> &random)
{
    return random() % candidates.size();
}
}
