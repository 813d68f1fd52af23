#pragma once

#include "quetzallift/model/controlsnapshot.h"
#include "quetzallift/model/reloadablesettings.h"
#include "quetzallift/routing/processordelay.h"
#include "quetzallift/routing/rejections.h"
#include "quetzallift/routing/routelatency.h"
#include "quetzallift/routing/runningrequest.h"
#include "quetzallift/routing/serviceload.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace Quetzallift
{
// A searcher whose entry was removed, and when.
struct FormerSearcher {
    SearcherLoadPtr load;
    TimePoint removedAt;
};

// The part of a traffic thread's state that covers requests forwarded to searchers.
struct RoutingState {
    RetryAllowance allowance;
    std::string dataCentre;
    std::unordered_map<QueryId, RunningRequest> requests;
    std::unordered_map<AttemptId, ForwardAttempt> attempts;
    std::map<std::string, SearcherLoadPtr> searchers;
    // Searchers that are no longer in the table. Their entries may come back, as after an outage of the metadata store, and what they
    // stated then still holds.
    std::map<std::string, FormerSearcher> formerSearchers;
    std::map<std::string, ServiceLoad> services;
    // Keyed by the name of the route.
    std::map<std::string, RouteLatency> latencies;
    // The tables and the hosts that `searchers` and `services` were last updated from.
    SearcherTablePtr table;
    RouteTablePtr routes;
    std::vector<HostAddress> hosts;
    // This host's part of what all hosts own together: connections to searchers, extra requests, stated request limits.
    double fleetShare = 1.0;
    // The traffic threads of this host.
    unsigned threads = 1;
    // The scheduled time at which queued parts are sent to searchers that limit their requests.
    std::optional<TimePoint> pacedSendAt;
    // How late timers of requests fire, and whether the control thread was told that this thread is busy.
    ProcessorDelay processorDelay;
    bool reportedBusy = false;
    // The time of the last BusyCheck timer that was set.
    TimePoint busyCheckAt;
    Rejections rejections;
    std::uint64_t lastAttempt = 0;
    // While this host leaves, the time at which requests that still run are cut off.
    std::optional<TimePoint> cutOffAt;
    // `leaving` is true once this host leaves: connections are closed after their next answer. `stopping` is true once
    // the host admits no more requests.
    bool leaving = false;
    bool stopping = false;
};
}
