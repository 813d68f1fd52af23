#include "quetzallift/core/reduce.h"

#include "quetzallift/control/burn.h"
#include "quetzallift/control/handlers.h"
#include "quetzallift/core/reducecontext.h"
#include "quetzallift/query/handlers.h"
#include "quetzallift/query/servicecounting.h"
#include "quetzallift/query/sharesapplied.h"
#include "quetzallift/routing/handlers.h"

namespace Quetzallift
{
namespace
{
// Dispatches an expired timer to the module that set it.
void handleTimer(ReduceContext &context, const TimerFired &event)
{
    switch (event.timer.kind) {
    case TimerKind::QueryDeadline:
    case TimerKind::LatencyTarget:
    case TimerKind::StragglerCheck:
        handleQueryTimer(context, event.timer);
        break;
    case TimerKind::SearcherQueue:
    case TimerKind::SearcherProbe:
        handleSearcherTimer(context, event.timer);
        break;
    case TimerKind::PlatformRetry:
    case TimerKind::BundleRetry:
    case TimerKind::PlatformBudget:
    case TimerKind::ClaimRetry:
    case TimerKind::OutcomeRetry:
    case TimerKind::HostListPoll:
    case TimerKind::StopLimit:
    case TimerKind::RolloutPoll:
    case TimerKind::ProbePeriod:
    case TimerKind::ProbeTimeout:
    case TimerKind::ProbeFailed:
    case TimerKind::AddressesExpired:
    case TimerKind::CutOffLimit:
    case TimerKind::ExitDelay:
    case TimerKind::BurnWrite:
    case TimerKind::ConfigurationRead:
    case TimerKind::SearchersRead:
    case TimerKind::SearcherExpiry:
    case TimerKind::HostRegistration:
    case TimerKind::PeerTablesPoll:
        handleControlTimer(context, event.timer);
        break;
    case TimerKind::RequestTarget:
    case TimerKind::RequestLimit:
    case TimerKind::RequestStragglerCheck:
    case TimerKind::DispatchTimeout:
    case TimerKind::OrphanLimit:
    case TimerKind::PacedSend:
    case TimerKind::BusyCheck:
        handleRoutingTimer(context, event.timer);
        break;
    case TimerKind::SharesCheck:
        reportSharesApplied(context);
        break;
    case TimerKind::ServiceReport:
        reportService(context);
        break;
    }
}

// Takes decisions that depend on the combined result of an event's handlers.
void finishEvent(ReduceContext &context)
{
    if (context.state.control.active) {
        finishControlEvent(context);
    }
}

void handleStop(ReduceContext &context)
{
    if (context.state.control.active) {
        stopControl(context);
    } else {
        stopRequests(context);
        stopQueries(context);
    }
}

void handleReload(ReduceContext &context, const SettingsReloaded &event)
{
    if (context.state.control.active) {
        applySettings(context, event.settings);
    } else {
        applyAllowance(context, event.settings.allowance);
    }
}

// Calls the handler of each kind of event.
struct Dispatcher {
    ReduceContext &context;

    void operator()(const QueryArrived &event)
    {
        trackQuery(context, event);
        handleQueryArrived(context, event);
    }
    void operator()(const QueryAbandoned &event)
    {
        handleQueryAbandoned(context, event);
    }
    void operator()(const SubReplyArrived &event)
    {
        handleSubReply(context, event);
    }
    void operator()(const SubRequestFailed &event)
    {
        handleSubRequestFailed(context, event);
    }
    void operator()(const SearcherProbed &event)
    {
        handleSearcherProbed(context, event);
    }
    void operator()(const ControlSnapshotPublished &event)
    {
        handleControlSnapshot(context, event);
        applyRoutingSnapshot(context);
    }
    void operator()(const ClaimSettled &event)
    {
        handleClaimSettled(context, event);
    }
    void operator()(const Started &)
    {
        startControl(context);
    }
    void operator()(const PlatformReplied &event)
    {
        handlePlatformReplied(context, event);
    }
    void operator()(const ClaimRequested &event)
    {
        handleClaimRequested(context, event);
    }
    void operator()(const OutcomeRecorded &event)
    {
        handleOutcomeRecorded(context, event);
    }
    void operator()(const BusyReported &event)
    {
        handleBusyReported(context, event);
    }
    void operator()(const PeerMessageArrived &event)
    {
        handlePeerMessage(context, event);
    }
    void operator()(const PeerUnreachable &event)
    {
        handlePeerUnreachable(context, event);
    }
    void operator()(const TrafficStopped &event)
    {
        handleTrafficStopped(context, event);
    }
    void operator()(const ServiceReported &event)
    {
        handleServiceReported(context, event);
    }
    void operator()(const SharesApplied &event)
    {
        handleSharesApplied(context, event);
    }
    void operator()(const RequestArrived &event)
    {
        handleRequestArrived(context, event);
    }
    void operator()(const ClientRejected &event)
    {
        handleClientRejected(context, event);
    }
    void operator()(const RequestAbandoned &event)
    {
        handleRequestAbandoned(context, event);
    }
    void operator()(const ForwardReplied &event)
    {
        handleForwardReplied(context, event);
    }
    void operator()(const ForwardFailed &event)
    {
        handleForwardFailed(context, event);
    }
    void operator()(const SettingsReloaded &event)
    {
        handleReload(context, event);
    }
    void operator()(const CutOffRequested &)
    {
        cutOffRequests(context);
        cutOffQueries(context);
    }
    void operator()(const StopRequested &)
    {
        handleStop(context);
    }
    void operator()(const TimerFired &event)
    {
        handleTimer(context, event);
    }
};
}

Effects reduce(State &state, const Event &event)
{
    Effects effects;
    ReduceContext context{state, event.at, effects};
    std::visit(Dispatcher{context}, event.body);
    finishEvent(context);
    countService(context);
    return effects;
}
}
