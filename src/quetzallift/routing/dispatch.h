#pragma once

#include "quetzallift/routing/runningrequest.h"
#include "quetzallift/routing/searcherload.h"

namespace Quetzallift
{
struct ReduceContext;
struct ServiceLoad;

// Sends a part to a searcher, or puts it in the queue of its service until one may take it.
void startPart(ReduceContext &context, RunningRequest &request, std::size_t part);

// Why a part is sent once more.
enum class ResendCause {
    // Its attempt takes longer than others do.
    Overdue,
    // Its attempt failed, or the searcher did not run it.
    Failed,
    // Its attempt never left this host, so that another one is no extra request.
    NotSent,
};

// Sends a part once more, to a searcher that it was not sent to yet, if the budget of extra requests allows. Returns false
// if nothing was sent; the part then says why.
bool sendAgain(ReduceContext &context, RunningRequest &request, std::size_t part, ResendCause cause);

// Ends the bookkeeping of an attempt and lets parts that wait for its service use its connection.
ForwardAttempt takeAttempt(ReduceContext &context, AttemptId attempt);

// Sends parts that wait for the service, as far as searchers may take them.
void serveWaiting(ReduceContext &context, ServiceLoad &service);

// Lets the attempts of a part run on for a while although nobody waits for their replies: a reply frees the connection
// for the next request, and closing it would cost the searcher another handshake.
void orphanAttempts(ReduceContext &context, PartProgress &part, Duration patience);

// Closes the connection of an attempt that has stayed without a reply after it was orphaned.
void cancelOrphan(ReduceContext &context, AttemptId attempt);
}
