#pragma once

#include "quetzallift/model/backend.h"
#include "quetzallift/model/row.h"
#include "quetzallift/model/subrequest.h"

#include <map>
#include <string>
#include <vector>

namespace Simulation
{
// The snapshots that a simulated searcher serves.
struct SnapshotRange {
    Quetzallift::SnapshotVersion oldest;
    Quetzallift::SnapshotVersion newest;
};

// The searchers of one back end and their data. Rows are a function of layout, shard and snapshot, so that rows of
// another shard, snapshot or layout are recognised in an answer.
struct World {
    std::map<std::string, SnapshotRange> searchers;

    // The rows of a shard at a snapshot.
    static std::vector<Quetzallift::Row> rowsOf(const Quetzallift::Layout &layout, Quetzallift::ShardId shard, Quetzallift::SnapshotVersion snapshot);

    // What a searcher without a fault replies to a sub-request.
    Quetzallift::SubReply
    reply(const Quetzallift::BackEnd &backEnd, const std::string &searcher, Quetzallift::AttemptId attempt, const Quetzallift::SubRequest &request) const;
};
}
