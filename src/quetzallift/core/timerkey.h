#pragma once

#include <cstdint>

namespace Quetzallift
{
enum class TimerKind {
    QueryDeadline,
    LatencyTarget,
    StragglerCheck,
    SearcherQueue,
    SearcherProbe,
    PlatformRetry,
    BundleRetry,
    PlatformBudget,
    ClaimRetry,
    OutcomeRetry,
    HostListPoll,
    StopLimit,
    ServiceReport,
    BurnWrite,
    RolloutPoll,
    ProbePeriod,
    ProbeTimeout,
    ProbeFailed,
    AddressesExpired,
    CutOffLimit,
    ExitDelay,
    SharesCheck,
    RequestTarget,
    RequestLimit,
    RequestStragglerCheck,
    DispatchTimeout,
    OrphanLimit,
    PacedSend,
    BusyCheck,
    ConfigurationRead,
    SearchersRead,
    SearcherExpiry,
    HostRegistration,
    PeerTablesPoll,
};

// Identifies a timer. Obsolete timers are not cancelled: their handlers find nothing to do.
struct TimerKey {
    TimerKind kind = TimerKind::QueryDeadline;
    // The id of the object that the timer belongs to, for instance a query id; 0 if there is none.
    std::uint64_t subject = 0;
};
}
