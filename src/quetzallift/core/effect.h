#pragma once

#include "quetzallift/control/effects.h"
#include "quetzallift/core/timerkey.h"
#include "quetzallift/model/logrecord.h"
#include "quetzallift/query/effects.h"

#include <variant>
#include <vector>

namespace Quetzallift
{
// Fires TimerFired with the same key at the given time.
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
                            StopTraffic,
                            Exit,
                            StartTimer,
                            WriteLog,
                            CountMetric>;

// What an event leads to, in the order in which it must be carried out.
using Effects = std::vector<Effect>;
}
