#pragma once

#include "quetzallift/control/events.h"
#include "quetzallift/query/events.h"
#include "quetzallift/routing/events.h"

#include <variant>

namespace Quetzallift
{
// The decision to stop, taken outside: a signal or an operator.
struct StopRequested {
};

// The decision to end although queries still run.
struct CutOffRequested {
};

// A timer set by an earlier StartTimer effect has run out.
struct TimerFired {
    TimerKey timer;
};

using EventBody = std::variant<QueryArrived,
                               QueryAbandoned,
                               SubReplyArrived,
                               SubRequestFailed,
                               SearcherProbed,
                               ControlSnapshotPublished,
                               ClaimSettled,
                               Started,
                               PlatformReplied,
                               ClaimRequested,
                               OutcomeRecorded,
                               PeerMessageArrived,
                               PeerUnreachable,
                               TrafficStopped,
                               SharesApplied,
                               CutOffRequested,
                               ServiceReported,
                               StopRequested,
                               RequestArrived,
                               RequestAbandoned,
                               ForwardReplied,
                               ForwardFailed,
                               SettingsReloaded,
                               TimerFired>;

// Something that happened, and when.
struct Event {
    TimePoint at;
    EventBody body;
};
}
