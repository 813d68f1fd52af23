#pragma once

#include "quetzallift/model/ids.h"
#include "quetzallift/model/row.h"
#include "quetzallift/model/time.h"

#include <string>
#include <vector>

namespace Quetzallift
{
// The part of a query that one searcher runs on one shard.
struct SubRequest {
    std::string requestId;
    std::string backEnd;
    ShardId shard;
    SnapshotVersion snapshot;
    std::string key;
    std::string text;
    // The time after which the reply is no longer used.
    TimePoint deadline;
};

enum class SubReplyStatus {
    Ok,
    Shed,
    Draining,
    SnapshotGone,
    ShardNotHeld,
};

// A searcher's reply. The identity fields are echoed by the searcher and must be compared with the request before use.
struct SubReply {
    std::string requestId;
    AttemptId attempt;
    ShardId shard;
    SnapshotVersion snapshot;
    SubReplyStatus status = SubReplyStatus::Ok;
    std::vector<Row> rows;
    bool truncated = false;
    // The snapshots that the searcher can serve.
    SnapshotVersion oldestSnapshot;
    SnapshotVersion newestSnapshot;
    // Set when the searcher served this request and announces that it is leaving.
    bool leaving = false;
};
}
