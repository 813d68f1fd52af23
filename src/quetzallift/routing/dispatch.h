#pragma once

#include "quetzallift/routing/runningrequest.h"
#include "quetzallift/routing/searcherload.h"

namespace Quetzallift
{
struct ReduceContext;
struct ServiceLoad;

// Sends a part to a searcher, or queues it at its service until a searcher has a free connection.
void startPart(ReduceContext &context, RunningRequest &request, std::size_t part);

// Why a part is sent to another searcher.
enum class ResendCause {
    // The attempt is a straggler; the part is hedged.
    Overdue,
    // The attempt failed, or the searcher did not execute it.
    Failed,
    // No byte of the attempt left this host, so the resend is not an extra request.
    NotSent,
};

// Resends a part to a searcher that has not received it yet, if the retry budget allows. Returns false if nothing was
// sent, and stores the reason in the part.
bool resendPart(ReduceContext &context, RunningRequest &request, std::size_t part, ResendCause cause);

// Removes an attempt from the state and returns it. Its connection is free for queued parts afterwards.
ForwardAttempt removeAttempt(ReduceContext &context, AttemptId attempt);

// Sends queued parts of the service in order, until no searcher can be chosen for the next one.
void sendQueuedParts(ReduceContext &context, ServiceLoad &service);

// Keeps the attempts of a part running until the timeout although their replies are no longer needed: a reply frees the
// connection for the next request, and closing the connection would cost the searcher another handshake.
void orphanAttempts(ReduceContext &context, PartProgress &part, Duration timeout);

// Closes the connection of an orphaned attempt that has had no reply within its timeout.
void cancelOrphan(ReduceContext &context, AttemptId attempt);
}
