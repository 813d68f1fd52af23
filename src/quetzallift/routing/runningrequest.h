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
// How far the part of a request that one service runs has come.
struct PartProgress {
    std::string service;
    // Searchers that the part was sent to.
    std::vector<std::string> tried;
    // Searchers that may have run it, and all sends.
    unsigned runs = 0;
    unsigned sends = 0;
    std::vector<AttemptId> waiting;
    // True while the part waits for a searcher that may take it.
    bool queued = false;
    std::optional<ForwardReply> reply;
    std::optional<Failure> lastFailure;
    // Why it was not sent once more, if it should have been.
    const char *notResent = "";

    bool covered() const
    {
        return reply.has_value();
    }
};

// A request between its arrival and its answer.
struct RunningRequest {
    QueryId id;
    ClientRequestPtr content;
    // The configuration that the request follows to its end.
    RouteTablePtr table;
    const Route *route = nullptr;
    TimePoint arrivedAt;
    // When an answer that leaves now is just in time for the client's latency target, and when it must leave at the latest.
    TimePoint targetAt;
    TimePoint until;
    // One for a request to one searcher, one for each shard of a scattered one.
    std::vector<PartProgress> parts;
    std::size_t covered = 0;
    // True once anything was sent to a searcher, and once a searcher may have run any of it.
    bool offered = false;
    bool mayHaveRun = false;
    // Sends beyond the first of each part.
    unsigned extras = 0;
    // A searcher's failure that can be passed on.
    std::optional<ForwardReply> failure;
    // The earliest check for stragglers that is planned.
    std::optional<TimePoint> checkAt;
};
}
