#include "stand_ins/simulation/world.h"

namespace Simulation
{
using namespace Quetzallift;

std::vector<Row> World::rowsOf(const Layout &layout, ShardId shard, SnapshotVersion snapshot)
{
    const std::string origin =
        "layout " + std::to_string(layout.firstSnapshot.value) + " shard " + std::to_string(shard.value) + " snapshot " + std::to_string(snapshot.value);
    return {{"pass", origin + " row 0"}, {"pass", origin + " row 1"}};
}

SubReply World::reply(const BackEnd &backEnd, const std::string &searcher, AttemptId attempt, const SubRequest &request) const
{
    const SnapshotRange &range = searchers.at(searcher);
    SubReply reply;
    reply.requestId = request.requestId;
    reply.attempt = attempt;
    reply.shard = request.shard;
    reply.snapshot = request.snapshot;
    reply.oldestSnapshot = range.oldest;
    reply.newestSnapshot = range.newest;
    if (request.snapshot < range.oldest || range.newest < request.snapshot) {
        reply.status = SubReplyStatus::SnapshotGone;
    } else {
        reply.rows = rowsOf(*backEnd.layoutAt(request.snapshot), request.shard, request.snapshot);
    }
    return reply;
}
}
