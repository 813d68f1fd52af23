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
    RequestCheck,
    OfferLimit,
    OrphanLimit,
    ConfigurationRead,
    SearchersRead,
    SearcherExpiry,
    HostRegistration,
    PeerTablesPoll,
};

// Names a timer. A timer that no longer matters is not cancelled: its handler finds nothing to do.
struct TimerKey {
    TimerKind kind = TimerKind::QueryDeadline;
    // What the timer is about, for instance a query id.
    std::uint64_t subject = 0;
};
}
