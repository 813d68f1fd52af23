#pragma once

#include "quetzallift/model/clientanswer.h"
#include "quetzallift/routing/runningrequest.h"

#include <string>

namespace Quetzallift
{
struct ReduceContext;

// The number of parts that an answer of the route must cover.
std::size_t requiredParts(const Route &route);

// Answers the request if all parts have ended, if too few parts can still be covered, or if the latency target has
// passed and enough parts are covered. Returns false if the request keeps running; otherwise the reference is invalid.
bool answerIfDone(ReduceContext &context, RunningRequest &request);

// Answers the request at its deadline or at the end of a stop: with the covered parts if they suffice, else with a
// failure reply of a searcher, as timed out, or with a refusal if no part was sent. The reference is invalid afterwards.
void answerAtLimit(ReduceContext &context, RunningRequest &request);

// Refuses a running request that no searcher has executed. The reference is invalid afterwards.
void refuseRequest(ReduceContext &context, RunningRequest &request, Duration retryAfter, const std::string &reason);

// Answers a request that was not admitted.
void answerUnadmitted(ReduceContext &context, QueryId id, const ClientRequest &content, const Route *route, ClientAnswer answer);

// Removes a request without an answer and orphans its attempts with the given timeout. The reference is invalid
// afterwards.
void dropRequest(ReduceContext &context, RunningRequest &request, Duration timeout);
}
