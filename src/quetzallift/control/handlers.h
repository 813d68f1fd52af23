#pragma once

#include "quetzallift/control/events.h"
#include "quetzallift/model/reloadablesettings.h"

namespace Quetzallift
{
struct ReduceContext;

// Joins the fleet and starts reading the rollout and the host list.
void startControl(ReduceContext &context);

// Updates whether this host is busy, and announces a change to the fleet.
void handleBusyReported(ReduceContext &context, const BusyReported &event);

// Applies a peer's message to the control state and answers it.
void handlePeerMessage(ReduceContext &context, const PeerMessageArrived &event);

// Handles the direct probes of an unreachable peer as timed out.
void handlePeerUnreachable(ReduceContext &context, const PeerUnreachable &event);

// Dispatches a platform reply to the handler of the call's purpose.
void handlePlatformReplied(ReduceContext &context, const PlatformReplied &event);

// Creates the claim object of a request that is not idempotent.
void handleClaimRequested(ReduceContext &context, const ClaimRequested &event);

// Starts the write of the outcome of a claimed request into its claim object.
void handleOutcomeRecorded(ReduceContext &context, const OutcomeRecorded &event);

// Acknowledges the newest epoch that every traffic thread has applied.
void handleSharesApplied(ReduceContext &context, const SharesApplied &event);

// Publishes changes and announces a new generation; called after every event of the control thread.
void finishControlEvent(ReduceContext &context);

// Leaves the fleet and schedules the exit once every traffic thread has stopped.
void handleTrafficStopped(ReduceContext &context, const TrafficStopped &event);

// Runs the work for which the timer was set.
void handleControlTimer(ReduceContext &context, const TimerKey &timer);

// Applies settings that changed at run time.
void applySettings(ReduceContext &context, const ReloadableSettings &settings);

// Begins a graceful stop; a second request cuts off running queries.
void stopControl(ReduceContext &context);
}
