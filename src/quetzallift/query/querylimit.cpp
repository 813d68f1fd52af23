#include "quetzallift/query/querylimit.h"

#include <algorithm>
#include <limits>

namespace Quetzallift
{
namespace
{
// Low enough not to overload the smallest back end, high enough to observe latency under concurrency.
constexpr double MinimumLimit = 4.0;
constexpr double MaximumLimit = 10000.0;
constexpr double DecreaseFactor = 0.9;
// Total increase over as many ended queries as the limit, in equal parts per query.
constexpr double IncreaseStep = 4.0;
// Below this fraction of the limit, the load and not the limit determines how many queries run.
constexpr double UsedRatio = 0.7;

// A latency of up to 0.4 of the target leaves room for the spread of latencies. A back end whose latency without queueing
// is high is allowed 1.5 times that latency.
Duration congestionThreshold(const QueryLimitSample &sample)
{
    return std::max(sample.baseline * 3 / 2, sample.target * 2 / 5);
}
}

double adaptQueryLimit(const QueryLimitSample &sample)
{
    if (sample.latency > congestionThreshold(sample)) {
        const bool lowerLimit = sample.sinceLowered >= sample.latency;
        return lowerLimit ? std::max(MinimumLimit, sample.limit * DecreaseFactor) : sample.limit;
    }
    if (sample.running >= sample.limit * UsedRatio) {
        return std::min(MaximumLimit, sample.limit + IncreaseStep / sample.limit);
    }
    return sample.limit;
}

double unlimitedQueries(const QueryLimitSample &)
{
    return std::numeric_limits<double>::infinity();
}

bool fitsDeadline(Duration expected, Duration deadline)
{
    return expected <= deadline;
}

bool ignoreDeadline(Duration, Duration)
{
    return true;
}
}
