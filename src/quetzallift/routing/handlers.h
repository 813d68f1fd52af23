#pragma once

#include "quetzallift/routing/events.h"

namespace Quetzallift
{
struct ReduceContext;
struct TimerKey;

// Refuses a request, or sends its parts to searchers.
void handleRequestArrived(ReduceContext &context, const RequestArrived &event);

// Counts the rejection, and logs the rejections now and then.
void handleClientRejected(ReduceContext &context, const ClientRejected &event);

// Drops a request whose client closed its connection.
void handleRequestAbandoned(ReduceContext &context, const RequestAbandoned &event);

// Accepts a searcher's reply, or retries the part at another searcher.
void handleForwardReplied(ReduceContext &context, const ForwardReplied &event);

// Retries the part at another searcher, or gives it up if it cannot be retried. Answers the request if it needs no more
// replies.
void handleForwardFailed(ReduceContext &context, const ForwardFailed &event);

// Applies the routes, the searchers and the number of hosts of a new control snapshot.
void applyRoutingSnapshot(ReduceContext &context);

// Handles a timer of a request or of an orphaned attempt.
void handleRoutingTimer(ReduceContext &context, const TimerKey &timer);

// Stops admitting requests; running requests are completed.
void stopRequests(ReduceContext &context);

// Applies a new allowance of extra requests to the retry budgets.
void applyAllowance(ReduceContext &context, const RetryAllowance &allowance);

// Answers every running request immediately, before the process ends.
void cutOffRequests(ReduceContext &context);
}
