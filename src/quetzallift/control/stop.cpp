#include "quetzallift/control/stop.h"

#include "quetzallift/control/discovery/discovery.h"
#include "quetzallift/control/gossip.h"
#include "quetzallift/control/handlers.h"
#include "quetzallift/control/membership.h"
#include "quetzallift/control/publish.h"
#include "quetzallift/core/reducecontext.h"

#include <numeric>

namespace Quetzallift
{
namespace
{
// Hosts that are notified of the stop immediately; covers all hosts of a small fleet.
constexpr std::size_t LeaveFanout = 16;
constexpr Duration CutOffLimit = std::chrono::seconds(1);
constexpr Duration ExitDelay = std::chrono::milliseconds(200);

void logStop(ReduceContext &context, LogLevel level, const std::string &message)
{
    context.emit(WriteLog{{level, Step::Stop, {}, {}, message}});
}

void cutOff(ReduceContext &context, const std::string &reason)
{
    StopState &stop = context.state.control.stop;
    if (stop.cuttingOff || stop.ended) {
        return;
    }
    stop.cuttingOff = true;
    logStop(context, LogLevel::Error, reason);
    context.emit(StartTimer{{TimerKind::CutOffLimit, 0}, context.now + CutOffLimit});
    context.emit(CutOffTraffic{});
}

// Announces to peers that this host is gone and holds no connections, and schedules the exit.
void leaveFleet(ReduceContext &context)
{
    MembershipState &fleet = context.state.control.fleet;
    fleet.self.stopped = true;
    updateOwnStatus(context, MemberStatus::Gone);
    announce(context, LeaveFanout);
    if (context.state.control.discovery.enabled) {
        removeHostEntry(context);
    }
    context.emit(StartTimer{{TimerKind::ExitDelay, 0}, context.now + ExitDelay});
}

unsigned cutOffQueries(const StopState &stop)
{
    return std::accumulate(stop.threads.begin(), stop.threads.end(), 0U, [](unsigned sum, const auto &entry) {
        return sum + entry.second;
    });
}

void finishStop(ReduceContext &context)
{
    StopState &stop = context.state.control.stop;
    stop.ended = true;
    const unsigned count = cutOffQueries(stop);
    logStop(context,
            count == 0 ? LogLevel::Info : LogLevel::Error,
            count == 0 ? "stopped; no query was cut off" : "stopped; " + std::to_string(count) + " queries were cut off");
    leaveFleet(context);
}
}

void stopControl(ReduceContext &context)
{
    ControlState &state = context.state.control;
    if (state.stop.requested) {
        cutOff(context, "second stop request: cutting off running queries");
        return;
    }
    state.stop.requested = true;
    state.stop.cutOffAt = context.now + state.self.reloadable.stopLimit;
    const bool advertised = (state.bundle || state.discovery.routes) && state.fleet.self.status == MemberStatus::Live;
    updateOwnStatus(context, MemberStatus::Leaving);
    publishSnapshot(context);
    announce(context, LeaveFanout);
    context.emit(StartTimer{{TimerKind::StopLimit, 0}, *state.stop.cutOffAt});
    if (!advertised) {
        // No address list has named this host to a caller.
        context.emit(StopTraffic{});
        return;
    }
    logStop(context, LogLevel::Info, "leaving; queries are accepted until the last address list that names this host has expired");
    context.emit(StartTimer{{TimerKind::AddressesExpired, 0}, context.now + state.self.reloadable.leaveGracePeriod});
}

void handleAddressesExpired(ReduceContext &context)
{
    if (!context.state.control.stop.cuttingOff && !context.state.control.stop.ended) {
        context.emit(StopTraffic{});
    }
}

void handleStopLimit(ReduceContext &context)
{
    cutOff(context, "stop limit reached: cutting off running queries");
}

void handleCutOffLimit(ReduceContext &context)
{
    ControlState &state = context.state.control;
    if (state.stop.ended) {
        return;
    }
    const std::size_t unreported = state.self.trafficThreads - state.stop.threads.size();
    logStop(context,
            LogLevel::Error,
            std::to_string(cutOffQueries(state.stop)) + " queries were cut off; " + std::to_string(unreported) + " traffic threads did not report a count");
    context.emit(Exit{1});
}

void handleExitDelay(ReduceContext &context)
{
    context.emit(Exit{cutOffQueries(context.state.control.stop) == 0 ? 0 : 1});
}

void handleTrafficStopped(ReduceContext &context, const TrafficStopped &event)
{
    ControlState &state = context.state.control;
    state.stop.threads[event.thread] = event.cutOff;
    if (state.stop.requested && !state.stop.ended && state.stop.threads.size() == state.self.trafficThreads) {
        finishStop(context);
    }
}
}
