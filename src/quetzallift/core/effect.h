#pragma once

#include "quetzallift/control/effects.h"
#include "quetzallift/core/timerkey.h"
#include "quetzallift/model/logrecord.h"
#include "quetzallift/query/effects.h"
#include "quetzallift/routing/effects.h"

#include <variant>
#include <vector>

namespace Quetzallift
{
// Requests a TimerFired event with the same key at the given time.
struct StartTimer {
    TimerKey timer;
    TimePoint at;
};

// Writes one line to the log.
struct WriteLog {
    LogRecord record;
};

// Adds to a counter. The label is empty for counters without one.
struct CountMetric {
    Metric metric;
    std::string label;
    double amount = 1.0;
};

using Effect = std::variant<SendSubRequest,
                            CancelSubRequest,
                            ProbeSearcher,
                            SendAnswer,
                            SendRecordedAnswer,
                            RequestClaim,
                            RecordOutcome,
                            ReportStopped,
                            ReportService,
                            CallPlatform,
                            PublishControlSnapshot,
                            SettleClaim,
                            SendPeerMessage,
                            BroadcastPeerMessage,
                            StopTraffic,
                            CutOffTraffic,
                            ReportSharesApplied,
                            Exit,
                            ForwardRequest,
                            CancelForward,
                            CloseIdleConnections,
                            StopListening,
                            ReportBusy,
                            AnswerRequest,
                            StartTimer,
                            WriteLog,
                            CountMetric>;

// The effects of one event, in the order in which the edge must execute them.
using Effects = std::vector<Effect>;
}
