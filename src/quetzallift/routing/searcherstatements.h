#pragma once

#include "quetzallift/model/searcherstatement.h"
#include "quetzallift/model/time.h"

namespace Quetzallift
{
struct ReduceContext;
struct SearcherLoad;
struct ServiceLoad;

// Records what a searcher states in a reply. A limit is replaced by each reply, and ends with one that states none; a refusal
// lasts for its time; a searcher that is leaving does not return under its start time.
void recordStatement(ReduceContext &context, SearcherLoad &searcher, const SearcherStatement &statement);

// The earliest time at which the searcher's statements allow another request after the given number of others; `now` if they
// allow it already.
TimePoint nextSend(const SearcherLoad &searcher, TimePoint now, double before = 0.0);

// The earliest time at which the statements of the service's searchers allow another request after those in its queue; the
// greatest time if no searcher may receive requests. Connections in use are not considered.
TimePoint earliestSend(const ServiceLoad &service, TimePoint now);

// Schedules the sending of queued parts of the service for the time at which the statements of one of its searchers allow it.
void schedulePacedSend(ReduceContext &context, const ServiceLoad &service);

// Sends the queued parts of all services, as far as the statements of their searchers allow.
void sendPacedParts(ReduceContext &context);
}
