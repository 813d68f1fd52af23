#pragma once

#include "quetzallift/control/events.h"
#include "quetzallift/query/events.h"
#include "quetzallift/routing/events.h"

#include <variant>

namespace Quetzallift
{
// A graceful stop was requested by a signal or an operator; traffic threads receive the request from the control thread.
struct StopRequested {
};

// The control thread requested the end of all queries and requests that still run.
struct CutOffRequested {
};

// A timer set by an earlier StartTimer effect has expired.
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
                               BusyReported,
                               PeerMessageArrived,
                               PeerUnreachable,
                               TrafficStopped,
                               SharesApplied,
                               CutOffRequested,
                               ServiceReported,
                               StopRequested,
                               RequestArrived,
                               ClientRejected,
                               RequestAbandoned,
                               ForwardReplied,
                               ForwardFailed,
                               SettingsReloaded,
                               TimerFired>;

// An input of the reducer and the time at which it occurred.
struct Event {
    TimePoint at;
    EventBody body;
};
}
