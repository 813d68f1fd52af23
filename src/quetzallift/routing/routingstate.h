#pragma once

#include "quetzallift/model/controlsnapshot.h"
#include "quetzallift/model/reloadablesettings.h"
#include "quetzallift/routing/routelatency.h"
#include "quetzallift/routing/runningrequest.h"
#include "quetzallift/routing/serviceload.h"

#include <map>
#include <string>
#include <unordered_map>

namespace Quetzallift
{
// The part of a traffic thread's state that is about requests passed on to searchers.
struct RoutingState {
    RetryAllowance allowance;
    std::string dataCentre;
    std::unordered_map<QueryId, RunningRequest> requests;
    std::unordered_map<AttemptId, ForwardAttempt> attempts;
    std::map<std::string, SearcherLoadPtr> searchers;
    std::map<std::string, ServiceLoad> services;
    // By the route's name.
    std::map<std::string, RouteLatency> latencies;
    // The tables that searchers and services were last brought in line with, and the number of hosts.
    SearcherTablePtr table;
    RouteTablePtr routes;
    unsigned hosts = 0;
    std::uint64_t lastAttempt = 0;
    // True once this host leaves: connections are closed after their next answer. True for `stopping` once it takes no more
    // requests.
    bool leaving = false;
    bool stopping = false;
};
}
