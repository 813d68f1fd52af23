#pragma once

#include "quetzallift/routing/events.h"

namespace Quetzallift
{
struct ReduceContext;
struct TimerKey;

// Refuses a request, or sends its parts to searchers.
void handleRequestArrived(ReduceContext &context, const RequestArrived &event);

// Stops work on a request whose client went away.
void handleRequestAbandoned(ReduceContext &context, const RequestAbandoned &event);

// Takes a searcher's reply over, or tries another searcher.
void handleForwardReplied(ReduceContext &context, const ForwardReplied &event);

// Tries another searcher, or gives the part up.
void handleForwardFailed(ReduceContext &context, const ForwardFailed &event);

// Follows the searchers and the number of hosts of a new control snapshot.
void followRoutingSnapshot(ReduceContext &context);

// Routes a timer of a request or of an attempt.
void handleRoutingTimer(ReduceContext &context, const TimerKey &timer);

// Takes no more requests; those that run are finished.
void stopRequests(ReduceContext &context);

// Follows another allowance of extra requests.
void followAllowance(ReduceContext &context, const RetryAllowance &allowance);

// Answers every running request at once, before the process ends.
void cutOffRequests(ReduceContext &context);
}
