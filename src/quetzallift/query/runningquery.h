#pragma once

#include "quetzallift/model/controlsnapshot.h"
#include "quetzallift/model/failure.h"
#include "quetzallift/model/layout.h"
#include "quetzallift/model/queryrequest.h"
#include "quetzallift/model/row.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Quetzallift
{
// How far one shard of a running query has come.
struct ShardProgress {
    bool covered = false;
    std::vector<Row> rows;
    // Attempts that still wait for a reply.
    std::set<AttemptId> waiting;
    // Replicas that were tried for this shard.
    std::set<std::string> tried;
    std::optional<Failure> lastFailure;
};

// A query between admission and answer.
struct RunningQuery {
    QueryId id;
    QueryRequest request;
    TimePoint arrivedAt;
    TimePoint deadline;
    // The control decisions under which the query was admitted; kept until the answer.
    ControlSnapshotPtr control;
    const BackEnd *backEnd = nullptr;
    // The pinned snapshot and its layout.
    SnapshotVersion snapshot;
    const Layout *layout = nullptr;
    std::vector<ShardProgress> shards;
    std::size_t shardsCovered = 0;
    bool sentAnything = false;
    // The virtual start time that orders the query among those of other callers.
    double startTag = 0.0;
    // The platform object of the claim, for requests that may not be repeated.
    std::string claimObject;
};
}
