#pragma once

#include "quetzallift/model/time.h"

#include <cstdint>
#include <map>
#include <optional>

namespace Quetzallift
{
// When requests to other hosts were sent, by the number that the reply returns. A reply may wait on its way, so its content is only
// known to be newer than its request.
class RequestTimes
{
public:
    // Sets the number before the first one. Replies to an earlier process of this host must not match.
    void startAfter(std::uint64_t number);

    // Adds a request and returns its number. The oldest requests are forgotten beyond a limit.
    std::uint64_t add(TimePoint sentAt);

    // When the request was sent; empty if it is unknown, forgotten, or finished.
    std::optional<TimePoint> sentAt(std::uint64_t number) const;

    // Ends the request and those before it.
    void finish(std::uint64_t number);

    // When the last request was sent, unless it is finished.
    std::optional<TimePoint> lastUnfinished() const;

private:
    std::map<std::uint64_t, TimePoint> m_times;
    std::uint64_t m_last = 0;
};
}
