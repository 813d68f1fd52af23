#pragma once

#include "quetzallift/control/events.h"
#include "quetzallift/query/events.h"

#include <variant>

namespace Quetzallift
{
// The decision to stop, taken outside: a signal or an operator.
struct StopRequested {
};

// A timer set by an earlier StartTimer effect has run out.
struct TimerFired {
    TimerKey timer;
};

using EventBody = std::variant<QueryArrived,
                               QueryAbandoned,
                               SubReplyArrived,
                               SubRequestFailed,
                               ControlSnapshotPublished,
                               ClaimSettled,
                               Started,
                               PlatformReplied,
                               ClaimRequested,
                               OutcomeRecorded,
                               PeerMessageArrived,
                               PeerUnreachable,
                               TrafficStopped,
                               ServiceReported,
                               StopRequested,
                               TimerFired>;

// Something that happened, and when.
struct Event {
    TimePoint at;
    EventBody body;
};
}
