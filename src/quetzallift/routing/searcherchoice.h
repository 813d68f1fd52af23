#pragma once

#include "quetzallift/routing/serviceload.h"

#include <string>
#include <vector>

namespace Quetzallift
{
struct ReduceContext;

// The searcher of the service that should get the next attempt, among those that have a free connection, do not drain, take a
// request now, and that are not in the list; null if there is none. An ejected searcher is chosen only if no other searcher is available.
SearcherLoadPtr chooseSearcher(ReduceContext &context, const ServiceLoad &service, const std::vector<std::string> &tried);

// True unless the searcher is leaving or another process uses its address.
bool mayReceiveRequests(const SearcherLoad &searcher);

// How long an attempt at the searcher may run before it counts as a straggler.
Duration stragglerDelay(const ReduceContext &context, const ServiceLoad &service, const SearcherLoad &searcher);
}
