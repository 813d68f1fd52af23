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
// The hosts told of the stop at once; all of a small fleet.
constexpr std::size_t LeaveFanout = 16;
constexpr Duration CutOffLimit = std::chrono::seconds(1);
constexpr Duration ExitDelay = std::chrono::milliseconds(200);

void log(ReduceContext &context, LogLevel level, const std::string &message)
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
    log(context, LogLevel::Error, reason);
    context.emit(StartTimer{{TimerKind::CutOffLimit, 0}, context.now + CutOffLimit});
    context.emit(CutOffTraffic{});
}

// Returns this host's connections and tells peers that nothing of them is left.
void leave(ReduceContext &context)
{
    MembershipState &fleet = context.state.control.fleet;
    fleet.self.stopped = true;
    changeSelf(context, MemberStatus::Gone);
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

void end(ReduceContext &context)
{
    StopState &stop = context.state.control.stop;
    stop.ended = true;
    const unsigned count = cutOffQueries(stop);
    log(context,
        count == 0 ? LogLevel::Info : LogLevel::Error,
        count == 0 ? "stopped; no query was cut off" : "stopped; " + std::to_string(count) + " queries were cut off");
    leave(context);
}
}

void stopControl(ReduceContext &context)
{
    ControlState &state = context.state.control;
    if (state.stop.requested) {
        cutOff(context, "a second stop request cuts off the queries that still run");
        return;
    }
    state.stop.requested = true;
    const bool named = (state.bundle || state.discovery.routes) && state.fleet.self.status == MemberStatus::Live;
    changeSelf(context, MemberStatus::Leaving);
    publish(context);
    announce(context, LeaveFanout);
    context.emit(StartTimer{{TimerKind::StopLimit, 0}, context.now + state.self.reloadable.stopLimit});
    if (!named) {
        // No caller was ever told to use this host.
        context.emit(StopTraffic{});
        return;
    }
    log(context, LogLevel::Info, "leaving; queries are taken until the last answer that names this host has run out");
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
    cutOff(context, "the stop limit ran out and cuts off the queries that still run");
}

void handleCutOffLimit(ReduceContext &context)
{
    ControlState &state = context.state.control;
    if (state.stop.ended) {
        return;
    }
    const std::size_t silent = state.self.trafficThreads - state.stop.threads.size();
    log(context,
        LogLevel::Error,
        std::to_string(cutOffQueries(state.stop)) + " queries were cut off; " + std::to_string(silent) + " traffic threads did not report theirs");
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
        end(context);
    }
}
}
