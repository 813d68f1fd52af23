#pragma once

#include "quetzallift/model/time.h"

#include <optional>

namespace Quetzallift
{
struct ReduceContext;
struct RunningRequest;
struct SearcherLoad;
struct ServiceLoad;

// Records whether a reply of the searcher states a limit on its requests, in requests a second from all hosts together. Each
// reply replaces the statement of the replies before it.
void recordLimit(ReduceContext &context, SearcherLoad &searcher, std::optional<double> perSecond);

// The earliest time at which the limits of the service's searchers allow another request after those in its queue; the
// greatest time if no searcher may receive requests. Connections in use are not considered.
TimePoint earliestSend(const ServiceLoad &service, TimePoint now);

// Schedules the sending of queued parts of the service for the time at which one of its searchers that limit their requests
// may be sent the next one.
void schedulePacedSend(ReduceContext &context, const ServiceLoad &service);

// Sends the queued parts of all services whose searchers may be sent a request again.
void sendPacedParts(ReduceContext &context);
}
