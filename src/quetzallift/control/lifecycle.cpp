#include "quetzallift/control/burn.h"
#include "quetzallift/control/claims.h"
#include "quetzallift/control/handlers.h"
#include "quetzallift/control/hostlist.h"
#include "quetzallift/control/outcomes.h"
#include "quetzallift/control/platformcalls.h"
#include "quetzallift/control/publish.h"
#include "quetzallift/control/rollout.h"
#include "quetzallift/core/reducecontext.h"

namespace Quetzallift
{
void startControl(ReduceContext &context)
{
    context.state.control.active = true;
    followRollout(context);
    readHostList(context);
    startBurn(context);
}

void handleControlTimer(ReduceContext &context, const TimerKey &timer)
{
    switch (timer.kind) {
    case TimerKind::PlatformRetry:
        followRollout(context);
        break;
    case TimerKind::BundleRetry:
        readWantedBundle(context);
        break;
    case TimerKind::PlatformBudget:
        sendHeldCall(context, PlatformCallId{timer.subject});
        break;
    case TimerKind::ClaimRetry:
        readClaim(context, timer.subject);
        break;
    case TimerKind::OutcomeRetry:
        writeOutcome(context, timer.subject);
        break;
    case TimerKind::HostListPoll:
        readHostList(context);
        break;
    case TimerKind::BurnWrite:
        syncBurn(context);
        break;
    case TimerKind::StopLimit:
        context.emit(WriteLog{{LogLevel::Error, Step::Stop, {}, {}, "the stop limit ran out with queries still running"}});
        context.emit(Exit{1});
        break;
    default:
        break;
    }
}

void stopControl(ReduceContext &context)
{
    ControlState &state = context.state.control;
    if (state.stopping) {
        context.emit(WriteLog{{LogLevel::Error, Step::Stop, {}, {}, "a second stop request ends the process at once"}});
        context.emit(Exit{1});
        return;
    }
    state.stopping = true;
    publish(context);
    context.emit(StopTraffic{});
    context.emit(StartTimer{{TimerKind::StopLimit, 0}, context.now + state.self.stopLimit});
}

void handleTrafficStopped(ReduceContext &context, const TrafficStopped &event)
{
    ControlState &state = context.state.control;
    state.stoppedThreads.insert(event.thread);
    if (state.stoppedThreads.size() == state.self.trafficThreads) {
        context.emit(WriteLog{{LogLevel::Info, Step::Stop, {}, {}, "stopped; no query was cut off"}});
        context.emit(Exit{0});
    }
}
}
