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
    // The rows of the reply, which are cut off if the shard is not covered.
    std::vector<Row> rows;
    // Attempts that still wait for a reply.
    std::set<AttemptId> waiting;
    // Replicas that were tried for this shard, or are known not to serve the pinned snapshot.
    std::set<std::string> tried;
    std::optional<Failure> lastFailure;
};

// A query between admission and answer.
struct RunningQuery {
    QueryId id;
    QueryRequest request;
    TimePoint arrivedAt;
    // The caller's deadline, the instant at which the answer leaves, and the end of sub-requests; each before the other.
    TimePoint deadline;
    TimePoint answerAt;
    TimePoint subRequestsUntil;
    // The control decisions under which the query was admitted; kept until the answer.
    ControlSnapshotPtr control;
    const BackEnd *backEnd = nullptr;
    // The pinned snapshot and its layout.
    SnapshotVersion snapshot;
    const Layout *layout = nullptr;
    std::vector<ShardProgress> shards;
    std::size_t shardsCovered = 0;
    // Attempts of all shards that wait for a reply.
    std::size_t attemptsWaiting = 0;
    // True once a sub-request was handed to the edge.
    bool sentAnything = false;
    // True once a sub-request that has ended may have reached a searcher.
    bool mayHaveRun = false;
    // How often the query started again because its snapshot went away.
    unsigned restarts = 0;
    // How often shards were tried again after all their replicas had failed.
    unsigned retryRounds = 0;
    // When the next check for stragglers is due, and when failed shards are tried again, if that is planned.
    std::optional<TimePoint> checkAt;
    std::optional<TimePoint> retryAt;
    // True once the latency target of a latency-first back end has passed.
    bool targetPassed = false;
    // True from the request of a claim until it is settled.
    bool claimPending = false;
    // The virtual start time that orders the query among those of other callers.
    double startTag = 0.0;
    // The platform object of the claim once it is granted, for requests that may not be repeated.
    std::string claimObject;
    // True for a query of the tier's own, which learns what searchers serve and has no caller.
    bool probe = false;
};
}
