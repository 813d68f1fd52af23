#include "quetzallift/control/burn.h"
#include "quetzallift/control/claims.h"
#include "quetzallift/control/discovery/discovery.h"
#include "quetzallift/control/handlers.h"
#include "quetzallift/control/hostlist.h"
#include "quetzallift/control/membership.h"
#include "quetzallift/control/outcomes.h"
#include "quetzallift/control/platformcalls.h"
#include "quetzallift/control/probing.h"
#include "quetzallift/control/publish.h"
#include "quetzallift/control/rollout.h"
#include "quetzallift/control/shares.h"
#include "quetzallift/control/spread.h"
#include "quetzallift/control/stop.h"
#include "quetzallift/control/sync.h"
#include "quetzallift/control/watchers.h"
#include "quetzallift/core/reducecontext.h"

namespace Quetzallift
{
namespace
{
// Periods between two table exchanges; a few exchanges deliver the membership updates that gossip missed.
constexpr std::uint64_t TicksPerSync = 30;
// After a longer pause of this host, the fleet may have removed hosts that this table still lists as live.
constexpr Duration MembershipResetPause = std::chrono::minutes(1);

// Runs the periodic work on membership, watching and connection shares.
void runPeriod(ReduceContext &context)
{
    MembershipState &fleet = context.state.control.fleet;
    if (fleet.lastTick + MembershipResetPause <= context.now) {
        resetMembership(context);
        readHostList(context);
    }
    fleet.lastTick = context.now;
    ++fleet.ticks;
    expireMembers(context);
    probeNextMember(context);
    if (fleet.ticks % TicksPerSync == 0 || isJoining(fleet, context.now)) {
        syncWithRandomPeer(context);
    }
    if (!context.state.control.discovery.enabled) {
        updateWatching(context);
        updateShares(context);
    }
    scheduleNextPeriod(context);
}

// Reads the rollout again, unless a newer timer replaced this one.
void handlePollTimer(ReduceContext &context, std::uint64_t serial)
{
    if (serial == context.state.control.pollSerial) {
        pollRollout(context);
    }
}

void handleHostListTimer(ReduceContext &context, std::uint64_t serial)
{
    if (serial == context.state.control.hostListSerial) {
        readHostList(context);
    }
}

void handleStopTimer(ReduceContext &context, TimerKind kind)
{
    switch (kind) {
    case TimerKind::AddressesExpired:
        handleAddressesExpired(context);
        break;
    case TimerKind::StopLimit:
        handleStopLimit(context);
        break;
    case TimerKind::CutOffLimit:
        handleCutOffLimit(context);
        break;
    case TimerKind::ExitDelay:
        handleExitDelay(context);
        break;
    default:
        break;
    }
}
}

void startControl(ReduceContext &context)
{
    ControlState &state = context.state.control;
    state.active = true;
    startMembership(context, context.state.hooks.wallNow());
    if (state.discovery.enabled) {
        startDiscovery(context);
    } else {
        state.watching = isWatcher(state, BundleWatchers);
        watchRollout(context);
        readShares(context);
        startBurn(context);
    }
    readHostList(context);
    probeNextMember(context);
    scheduleNextPeriod(context);
}

void handleBusyReported(ReduceContext &context, const BusyReported &event)
{
    ControlState &state = context.state.control;
    if (event.busy) {
        state.busyThreads.insert(event.thread);
    } else {
        state.busyThreads.erase(event.thread);
    }
    const bool busy = !state.busyThreads.empty();
    if (busy == state.fleet.self.busy) {
        return;
    }
    state.fleet.self.busy = busy;
    updateOwnStatus(context, state.fleet.self.status);
    context.emit(WriteLog{{LogLevel::Info,
                           Step::Admit,
                           {},
                           {},
                           busy ? "requests wait for this host; one more host is named to clients" : "requests no longer wait for this host"}});
}

void applySettings(ReduceContext &context, const ReloadableSettings &settings)
{
    context.state.control.self.reloadable = settings;
    publishSnapshot(context);
}

void finishControlEvent(ReduceContext &context)
{
    publishChanges(context);
    announceGeneration(context);
}

void handleControlTimer(ReduceContext &context, const TimerKey &timer)
{
    switch (timer.kind) {
    case TimerKind::PlatformRetry:
        watchRollout(context);
        break;
    case TimerKind::BundleRetry:
        readPendingBundle(context);
        break;
    case TimerKind::RolloutPoll:
        handlePollTimer(context, timer.subject);
        break;
    case TimerKind::PlatformBudget:
        sendQueuedCall(context, PlatformCallId{timer.subject});
        break;
    case TimerKind::ClaimRetry:
        readClaim(context, timer.subject);
        break;
    case TimerKind::OutcomeRetry:
        writeOutcome(context, timer.subject);
        break;
    case TimerKind::HostListPoll:
        handleHostListTimer(context, timer.subject);
        break;
    case TimerKind::BurnWrite:
        syncBurn(context);
        break;
    case TimerKind::ProbePeriod:
        runPeriod(context);
        break;
    case TimerKind::ProbeTimeout:
        handleProbeTimeout(context, timer.subject);
        break;
    case TimerKind::ProbeFailed:
        handleProbeFailed(context, timer.subject);
        break;
    case TimerKind::ConfigurationRead:
    case TimerKind::SearchersRead:
    case TimerKind::SearcherExpiry:
    case TimerKind::HostRegistration:
    case TimerKind::PeerTablesPoll:
        handleDiscoveryTimer(context, timer.kind);
        break;
    default:
        handleStopTimer(context, timer.kind);
        break;
    }
}
}
