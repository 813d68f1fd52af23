#pragma once

#include "quetzallift/control/events.h"

namespace Quetzallift
{
struct ReduceContext;

// Starts to read the rollout and the host list.
void startControl(ReduceContext &context);

// Routes a platform reply to the handler of the call's purpose.
void handlePlatformReplied(ReduceContext &context, const PlatformReplied &event);

// Creates the claim object of a request that may not be repeated.
void handleClaimRequested(ReduceContext &context, const ClaimRequested &event);

// Writes the outcome of a claimed request into its claim object.
void handleOutcomeRecorded(ReduceContext &context, const OutcomeRecorded &event);

// Ends the process once every traffic thread has stopped.
void handleTrafficStopped(ReduceContext &context, const TrafficStopped &event);

// Repeats work that was put off.
void handleControlTimer(ReduceContext &context, const TimerKey &timer);

// Begins a graceful stop; a second request ends the process at once.
void stopControl(ReduceContext &context);
}
