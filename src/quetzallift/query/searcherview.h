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
// What a traffic thread has observed of a searcher through its own sub-requests.
struct SearcherView {
    // Names the searcher in timers.
    std::uint64_t number = 0;
    std::string address;
    std::string backEnd;
    std::string dataCentre;
    unsigned slots = 2;
    // The time that the searcher needs for opening a connection.
    Duration connectionCost = Duration::zero();

    // Sub-requests sent and not ended; each occupies a connection.
    unsigned inFlight = 0;
    // Connections believed open, idle ones included. Never less than the connections in use.
    unsigned open = 0;
    // The last connection opened is taken as established at this time.
    TimePoint openingUntil;
    // When the sub-requests in flight were sent.
    std::multiset<TimePoint> sentTimes;
    // Sub-requests that wait for a connection, in the order in which they get one.
    std::set<QueuePosition> queue;
    // The earliest timer that will look at the queue; none if in the past.
    TimePoint wakeAt;

    Window window;
    TimePoint windowLoweredAt;
    AgedMean<Seconds> latency;
    // Latency without queueing at the searcher, as far as known.
    Baseline baseline;
    AgedMean<double> errors;
    TimePoint lastReplyAt;

    // Sub-requests that failed since the last reply.
    unsigned failuresInARow = 0;
    // True if the searcher gets no work as long as a shard has another replica. A health probe ends this.
    bool ejected = false;
    TimePoint ejectedUntil;
    unsigned ejections = 0;
    // True if the searcher announced that it leaves or does not take connections. Only a health probe ends this.
    bool draining = false;
    // True while the host list shows the searcher as leaving.
    bool listedLeaving = false;
    bool probing = false;
    unsigned probesFailed = 0;
};
}
