#include "stand_ins/data.h"

namespace StandIns
{
std::vector<Quetzallift::Row> rowsForKey(const std::string &backEnd, Quetzallift::ShardId shard, Quetzallift::SnapshotVersion snapshot, const std::string &key)
{
    const std::string text = backEnd + " shard " + std::to_string(shard.value) + " snapshot " + std::to_string(snapshot.value);
    return {{key, text}};
}
}
