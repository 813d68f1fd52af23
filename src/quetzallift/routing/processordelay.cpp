#include "quetzallift/routing/processordelay.h"

#include "quetzallift/core/reducecontext.h"

#include <algorithm>

namespace Quetzallift
{
namespace
{
// A client still gets its answer within the latency target if a fifth of it is spent waiting for the processor.
constexpr double LongFraction = 0.2;
// A single long delay, as after a pause of the process, does not make a thread busy.
constexpr double MaximumFraction = 1.0;
constexpr double SampleWeight = 1.0 / 8.0;
constexpr Duration BusyTime = std::chrono::seconds(10);
}

void ProcessorDelay::record(Duration delay, Duration target, TimePoint now)
{
    const double fraction = std::chrono::duration<double>(delay) / std::chrono::duration<double>(target);
    m_fraction += (std::clamp(fraction, 0.0, MaximumFraction) - m_fraction) * SampleWeight;
    if (m_fraction > LongFraction) {
        m_busyUntil = now + BusyTime;
    }
}

std::optional<TimePoint> ProcessorDelay::busyUntil() const
{
    return m_busyUntil;
}

void recordProcessorDelay(ReduceContext &context, Duration delay, Duration target)
{
    context.state.routing.processorDelay.record(delay, target, context.now);
    reportBusy(context);
}

void reportBusy(ReduceContext &context)
{
    RoutingState &state = context.state.routing;
    const std::optional<TimePoint> until = state.processorDelay.busyUntil();
    const bool busy = until && context.now < *until;
    if (busy != state.reportedBusy) {
        state.reportedBusy = busy;
        context.emit(ReportBusy{busy});
    }
    if (busy && state.busyCheckAt <= context.now) {
        state.busyCheckAt = *until;
        context.emit(StartTimer{{TimerKind::BusyCheck, 0}, *until});
    }
}
}
