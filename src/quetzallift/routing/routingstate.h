#pragma once

#include "quetzallift/model/controlsnapshot.h"
#include "quetzallift/routing/runningrequest.h"
#include "quetzallift/routing/serviceload.h"

#include <map>
#include <string>
#include <unordered_map>

namespace Quetzallift
{
// What the deployment allows this fleet to send beyond the first request to a searcher.
struct RetryAllowance {
    // Extra requests as a share of first ones, over all hosts.
    double ratio = 0.2;
    // Extra requests in a window on top of that, over all hosts.
    double slack = 50.0;
};

// The part of a traffic thread's state that is about requests passed on to searchers.
struct RoutingState {
    RetryAllowance allowance;
    std::string dataCentre;
    std::unordered_map<QueryId, RunningRequest> requests;
    std::unordered_map<AttemptId, ForwardAttempt> attempts;
    std::map<std::string, SearcherLoadPtr> searchers;
    std::map<std::string, ServiceLoad> services;
    // The tables that searchers and services were last brought in line with, and the number of hosts.
    SearcherTablePtr table;
    RouteTablePtr routes;
    unsigned hosts = 0;
    std::uint64_t lastAttempt = 0;
    bool stopping = false;
};
}
