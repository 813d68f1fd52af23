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
// Progress of one shard of a running query.
struct ShardProgress {
    bool covered = false;
    // The rows of the reply; truncated if the shard is not covered.
    std::vector<Row> rows;
    // Outstanding attempts.
    std::set<AttemptId> waiting;
    // Replicas that were used for this shard or are known not to serve the pinned snapshot.
    std::set<std::string> tried;
    std::optional<Failure> lastFailure;
};

// A query between admission and answer.
struct RunningQuery {
    QueryId id;
    QueryRequest request;
    TimePoint arrivedAt;
    // The caller's deadline, the earlier time at which the answer is sent, and the still earlier deadline of sub-requests.
    TimePoint deadline;
    TimePoint answerAt;
    TimePoint subRequestsUntil;
    // The control snapshot under which the query runs, held until the answer. A restart may replace it.
    ControlSnapshotPtr control;
    const BackEnd *backEnd = nullptr;
    // The pinned snapshot and its layout.
    SnapshotVersion snapshot;
    const Layout *layout = nullptr;
    std::vector<ShardProgress> shards;
    std::size_t shardsCovered = 0;
    // Number of outstanding attempts of all shards.
    std::size_t attemptsWaiting = 0;
    // True once a sub-request was handed to the edge for sending; it may still fail before any byte is sent.
    bool sentAnything = false;
    // True once an ended sub-request may have reached a searcher.
    bool mayHaveRun = false;
    // Number of restarts because searchers no longer served the snapshot.
    unsigned restarts = 0;
    // Number of retry rounds for uncovered shards without an outstanding attempt.
    unsigned retryRounds = 0;
    // When the next straggler check is due, and when failed shards are retried, if scheduled.
    std::optional<TimePoint> checkAt;
    std::optional<TimePoint> retryAt;
    // True once the latency target of a latency-first back end has been exceeded.
    bool targetPassed = false;
    // True from the request for a claim until its result is known.
    bool claimPending = false;
    // The virtual start time that orders the query among those of other callers.
    double startTag = 0.0;
    // Platform object of the granted claim of a non-repeatable request; empty otherwise.
    std::string claimObject;
    // True for an internal query without a caller that discovers which snapshots searchers serve.
    bool probe = false;
};
}
