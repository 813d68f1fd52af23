#pragma once

#include <cstdint>

namespace Quetzallift
{
enum class TimerKind {
    QueryDeadline,
    LatencyTarget,
    StragglerCheck,
    PlatformRetry,
    BundleRetry,
    HostListPoll,
    StopLimit,
    ServiceReport,
    BurnWrite,
};

// Names a timer. A timer that no longer matters is not cancelled: its handler finds nothing to do.
struct TimerKey {
    TimerKind kind = TimerKind::QueryDeadline;
    // What the timer is about, for instance a query id.
    std::uint64_t subject = 0;
};
}
