#include "quetzallift/query/deadlines.h"

#include <algorithm>

namespace Quetzallift
{
namespace
{
// A twentieth of the given time; at least 1 ms, enough for a merge of 74 shards and one network transfer, and at most
// 20 ms, enough for ten times as many shards.
Duration reservedTime(Duration given)
{
    constexpr Duration Minimum = std::chrono::milliseconds(1);
    constexpr Duration Maximum = std::chrono::milliseconds(20);
    constexpr int ReserveDivisor = 20;
    return std::min(std::clamp(given / ReserveDivisor, Minimum, Maximum), given / 2);
}
}

TimePoint answerInstant(TimePoint arrivedAt, Duration deadline)
{
    return arrivedAt + deadline - reservedTime(deadline);
}

TimePoint subRequestInstant(TimePoint arrivedAt, TimePoint answerAt)
{
    return answerAt - reservedTime(answerAt - arrivedAt);
}
}
