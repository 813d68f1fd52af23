#pragma once

#include "quetzallift/control/events.h"
#include "quetzallift/model/reloadablesettings.h"

namespace Quetzallift
{
struct ReduceContext;

// Joins the fleet and starts to read the rollout and the host list.
void startControl(ReduceContext &context);

// Learns from a peer's message and answers it.
void handlePeerMessage(ReduceContext &context, const PeerMessageArrived &event);

// Treats a probe of that peer as unanswered.
void handlePeerUnreachable(ReduceContext &context, const PeerUnreachable &event);

// Routes a platform reply to the handler of the call's purpose.
void handlePlatformReplied(ReduceContext &context, const PlatformReplied &event);

// Creates the claim object of a request that may not be repeated.
void handleClaimRequested(ReduceContext &context, const ClaimRequested &event);

// Writes the outcome of a claimed request into its claim object.
void handleOutcomeRecorded(ReduceContext &context, const OutcomeRecorded &event);

// Acknowledges the shares that every traffic thread keeps to.
void handleSharesApplied(ReduceContext &context, const SharesApplied &event);

// Publishes what changed and announces a new generation; called after every event of the control thread.
void finishControlEvent(ReduceContext &context);

// Ends the process once every traffic thread has stopped.
void handleTrafficStopped(ReduceContext &context, const TrafficStopped &event);

// Repeats work that was put off.
void handleControlTimer(ReduceContext &context, const TimerKey &timer);

// Takes settings over that changed while the process runs.
void applySettings(ReduceContext &context, const ReloadableSettings &settings);

// Begins a graceful stop; a second request cuts off the queries that still run.
void stopControl(ReduceContext &context);
}
