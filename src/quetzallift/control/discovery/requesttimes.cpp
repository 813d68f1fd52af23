#include "quetzallift/control/discovery/requesttimes.h"

namespace Quetzallift
{
namespace
{
// More than a host sends while a slow peer composes one reply.
constexpr std::size_t MaximumRequests = 32;
}

void RequestTimes::startAfter(std::uint64_t number)
{
    m_last = number;
}

std::uint64_t RequestTimes::add(TimePoint sentAt)
{
    m_times[++m_last] = sentAt;
    if (m_times.size() > MaximumRequests) {
        m_times.erase(m_times.begin());
    }
    return m_last;
}

std::optional<TimePoint> RequestTimes::sentAt(std::uint64_t number) const
{
    const auto found = m_times.find(number);
    return found == m_times.end() ? std::nullopt : std::optional(found->second);
}

void RequestTimes::finish(std::uint64_t number)
{
    m_times.erase(m_times.begin(), m_times.upper_bound(number));
}

std::optional<TimePoint> RequestTimes::lastUnfinished() const
{
    return m_times.empty() ? std::nullopt : std::optional(m_times.rbegin()->second);
}
}
