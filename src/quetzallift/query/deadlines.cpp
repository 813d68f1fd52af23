#include "quetzallift/query/deadlines.h"

#include <algorithm>

namespace Quetzallift
{
namespace
{
// A twentieth of the time given, at least a merge of 74 shards and one network way, at most what ten times as many take.
Duration reserveOf(Duration given)
{
    constexpr Duration Least = std::chrono::milliseconds(1);
    constexpr Duration Most = std::chrono::milliseconds(20);
    constexpr int Share = 20;
    return std::min(std::clamp(given / Share, Least, Most), given / 2);
}
}

TimePoint answerInstant(TimePoint arrivedAt, Duration deadline)
{
    return arrivedAt + deadline - reserveOf(deadline);
}

TimePoint subRequestInstant(TimePoint arrivedAt, TimePoint answerAt)
{
    return answerAt - reserveOf(answerAt - arrivedAt);
}
}
