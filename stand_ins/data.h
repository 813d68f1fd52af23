#pragma once

#include "quetzallift/model/ids.h"
#include "quetzallift/model/row.h"

#include <string>
#include <vector>

namespace StandIns
{
// The rows that a shard holds for a key at a snapshot. They are a function of their arguments, so that an answer can be
// checked without asking a searcher: one row for each key, whose text names back end, shard and snapshot.
std::vector<Quetzallift::Row> rowsForKey(const std::string &backEnd, Quetzallift::ShardId shard, Quetzallift::SnapshotVersion snapshot, const std::string &key);
}
