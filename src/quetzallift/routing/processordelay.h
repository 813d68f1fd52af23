#pragma once

#include "quetzallift/model/time.h"

#include <optional>

namespace Quetzallift
{
struct ReduceContext;

// How late the timers of requests fire, which shows how long events wait for the processor. Works for any part of a core
// and for quotas, where the used processor time does not say how long requests wait.
class ProcessorDelay
{
public:
    // Records the delay of a timer that belongs to a request with the given latency target.
    void record(Duration delay, Duration target, TimePoint now);

    // The end of the time for which the thread counts as busy; empty if the delays were never long. The time begins anew
    // with each long delay, so that a host does not join and leave a pool in turn.
    std::optional<TimePoint> busyUntil() const;

private:
    // The mean delay as a fraction of the latency target.
    double m_fraction = 0.0;
    std::optional<TimePoint> m_busyUntil;
};

// Records the delay of a timer, and reports a change to the control thread.
void recordProcessorDelay(ReduceContext &context, Duration delay, Duration target);

// Reports to the control thread whether this thread is busy, if that has changed.
void reportBusy(ReduceContext &context);
}
