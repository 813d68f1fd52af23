#pragma once

#include "quetzallift/model/ids.h"
#include "quetzallift/query/agedmean.h"
#include "quetzallift/query/baseline.h"
#include "quetzallift/query/queueposition.h"
#include "quetzallift/query/window.h"

#include <set>
#include <string>

namespace Quetzallift
{
// A traffic thread's observations of a searcher from its own sub-requests.
struct SearcherView {
    // Identifies the searcher in timers.
    std::uint64_t number = 0;
    std::string address;
    std::string backEnd;
    std::string dataCentre;
    unsigned slots = 2;
    // Time for opening a connection to the searcher.
    Duration connectionCost = Duration::zero();

    // Sub-requests in flight; each occupies a connection.
    unsigned inFlight = 0;
    // Estimated number of open connections, idle ones included; at least the connections in use.
    unsigned open = 0;
    // Time at which the connection opened last is assumed to be established.
    TimePoint openingUntil;
    // Send times of the sub-requests in flight.
    std::multiset<TimePoint> sentTimes;
    // Sub-requests that wait for a connection, in the order in which they are sent.
    std::set<QueuePosition> queue;
    // Time of the earliest timer that processes the queue; no timer is set if it is in the past.
    TimePoint wakeAt;

    Window window;
    TimePoint windowLoweredAt;
    AgedMean<Seconds> latency;
    // Estimated latency without queueing at the searcher.
    Baseline baseline;
    AgedMean<double> errors;
    TimePoint lastReplyAt;

    // Failed sub-requests since the last reply.
    unsigned consecutiveFailures = 0;
    // True if the searcher gets work only for shards without another replica. A healthy probe ends the ejection.
    bool ejected = false;
    TimePoint ejectedUntil;
    unsigned ejections = 0;
    // True if a reply, the host list, or refused or repeatedly closed connections show that the searcher is leaving. Only
    // a successful health probe resets it.
    bool draining = false;
    // True while the host list shows the searcher as leaving.
    bool listedLeaving = false;
    bool probing = false;
    unsigned probesFailed = 0;
};
}
