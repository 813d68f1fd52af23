#pragma once

#include "quetzallift/model/clientrequest.h"
#include "quetzallift/model/failure.h"
#include "quetzallift/model/forwardreply.h"
#include "quetzallift/model/ids.h"
#include "quetzallift/model/routetable.h"

#include <optional>
#include <string>
#include <vector>

namespace Quetzallift
{
// The progress of the part of a request that one service executes.
struct PartProgress {
    std::string service;
    // Searchers that the part was sent to.
    std::vector<std::string> tried;
    // The number of sends that a searcher may have executed or may still execute.
    unsigned runs = 0;
    // The number of all sends.
    unsigned sends = 0;
    std::vector<AttemptId> inFlight;
    // True while the part is in the queue of its service.
    bool queued = false;
    std::optional<ForwardReply> reply;
    std::optional<Failure> lastFailure;
    // The reason of the last refused resend, also if a later resend was sent; empty if none was refused.
    const char *notResentReason = "";

    bool covered() const
    {
        return reply.has_value();
    }
};

// A request between its arrival and its answer.
struct RunningRequest {
    QueryId id;
    ClientRequestPtr content;
    // The route table in force at the request's arrival, used until its answer.
    RouteTablePtr table;
    const Route *route = nullptr;
    TimePoint arrivedAt;
    // The latest time to send an answer that meets the client's latency target.
    TimePoint targetAt;
    // The latest time to send any answer.
    TimePoint deadline;
    // One part for a request to a single service, one for each shard of a scattered request.
    std::vector<PartProgress> parts;
    std::size_t covered = 0;
    // True once any part was sent to a searcher.
    bool dispatched = false;
    // True once a reply, a failure or the deadline shows that a searcher may have executed any part.
    bool mayHaveRun = false;
    // Sends beyond the first of each part.
    unsigned extraSends = 0;
    // A searcher's failure reply that can be relayed to the client.
    std::optional<ForwardReply> failure;
    // The earliest scheduled check for stragglers.
    std::optional<TimePoint> checkAt;
};
}
