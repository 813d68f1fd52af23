#include "quetzallift/query/querylimit.h"

#include <algorithm>
#include <limits>

namespace Quetzallift
{
namespace
{
// Few enough not to overload the smallest back end, enough to see latency under concurrency.
constexpr double LeastLimit = 4.0;
constexpr double MostLimit = 10000.0;
constexpr double DecreaseFactor = 0.9;
// Added over the time in which all running queries end once.
constexpr double IncreaseStep = 4.0;
// Below this part of the limit, load and not the limit determines how much runs.
constexpr double UsedPart = 0.7;

// Up to 0.4 of the target, queueing leaves room for the spread of latencies. A back end that needs longer without
// queueing gets half as much again.
Duration congestionThreshold(const QueryLimitSample &sample)
{
    return std::max(sample.baseline * 3 / 2, sample.target * 2 / 5);
}
}

double adaptQueryLimit(const QueryLimitSample &sample)
{
    if (sample.latency > congestionThreshold(sample)) {
        const bool settled = sample.sinceLowered >= sample.latency;
        return settled ? std::max(LeastLimit, sample.limit * DecreaseFactor) : sample.limit;
    }
    if (sample.running >= sample.limit * UsedPart) {
        return std::min(MostLimit, sample.limit + IncreaseStep / sample.limit);
    }
    return sample.limit;
}

double unlimitedQueries(const QueryLimitSample &)
{
    return std::numeric_limits<double>::infinity();
}

bool expectedInTime(Duration expected, Duration deadline)
{
    return expected <= deadline;
}

bool ignoreDeadline(Duration, Duration)
{
    return true;
}
}
