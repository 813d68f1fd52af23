#pragma once

#include "quetzallift/model/clientanswer.h"
#include "quetzallift/routing/runningrequest.h"

#include <string>

namespace Quetzallift
{
struct ReduceContext;

// The parts that an answer must hold.
std::size_t neededParts(const Route &route);

// Answers the request if it is complete, if nothing more can come, or if its latency target has passed and what is there
// is enough. Returns false if the request goes on; otherwise the reference is invalid.
bool answerIfDone(ReduceContext &context, RunningRequest &request);

// Answers with what is there because the time is over. The reference is invalid afterwards.
void answerAtLimit(ReduceContext &context, RunningRequest &request);

// Refuses a request of which nothing was sent. The reference is invalid afterwards.
void refuseRunning(ReduceContext &context, RunningRequest &request, Duration retryAfter, const std::string &reason);

// Answers a request that was not taken on.
void answerAtOnce(ReduceContext &context, QueryId id, const ClientRequest &content, const Route *route, ClientAnswer answer);

// Forgets a request without an answer; its attempts end after the given time. The reference is invalid afterwards.
void dropRequest(ReduceContext &context, RunningRequest &request, Duration patience);
}
