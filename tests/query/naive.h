#pragma once

#include "stand_ins/simulation/world.h"

#include <optional>

namespace Quetzallift
{
// A sequential reference implementation of a query: sends to one replica after the other, shard by shard. It has no hedges,
// budgets, caches or timers.
class NaiveTier
{
public:
    NaiveTier(const Simulation::World &world, std::function<bool(const std::string &)> works)
        : m_world(world)
        , m_works(std::move(works))
    { }

    // The answer if every shard replies at one snapshot; empty if one does not.
    std::optional<QueryAnswer> run(const BackEnd &backEnd, const QueryRequest &request)
    {
        std::optional<SnapshotVersion> snapshot = newestServed(backEnd);
        return snapshot ? runAt(backEnd, request, *snapshot) : std::nullopt;
    }

    // The rows of all shards of a snapshot except the missing ones, in the order of an answer.
    static std::vector<Row> rowsOf(const BackEnd &backEnd, SnapshotVersion snapshot, const std::vector<MissingShard> &missing)
    {
        std::vector<Row> rows;
        for (const Shard &shard : backEnd.layoutAt(snapshot)->shards) {
            const bool left = std::any_of(missing.begin(), missing.end(), [&](const MissingShard &entry) {
                return entry.shard == shard.id;
            });
            for (const Row &row : Simulation::World::rowsOf(*backEnd.layoutAt(snapshot), shard.id, snapshot)) {
                rows.insert(rows.end(), left ? 0 : 1, row);
            }
        }
        std::sort(rows.begin(), rows.end());
        return rows;
    }

private:
    std::optional<SubReply> ask(const BackEnd &backEnd, const Shard &shard, const QueryRequest &request, SnapshotVersion snapshot) const
    {
        for (const std::string &replica : shard.replicas) {
            SubReply reply = m_world.reply(backEnd, replica, {1}, {request.requestId, backEnd.name, shard.id, snapshot, request.key, {}, {}});
            if (m_works(replica) && reply.status == SubReplyStatus::Ok) {
                return reply;
            }
        }
        return std::nullopt;
    }

    std::optional<QueryAnswer> runAt(const BackEnd &backEnd, const QueryRequest &request, SnapshotVersion snapshot) const
    {
        QueryAnswer answer;
        answer.status = AnswerStatus::Whole;
        answer.snapshot = snapshot;
        for (const Shard &shard : backEnd.layoutAt(snapshot)->shards) {
            const std::optional<SubReply> reply = ask(backEnd, shard, request, snapshot);
            if (!reply) {
                return std::nullopt;
            }
            answer.rows.insert(answer.rows.end(), reply->rows.begin(), reply->rows.end());
            ++answer.coverage.shardsCovered;
            answer.coverage.weightCovered += shard.weight;
        }
        std::sort(answer.rows.begin(), answer.rows.end());
        return answer;
    }

    // The newest snapshot that every shard serves, searched downwards from a number above the snapshots of all histories.
    std::optional<SnapshotVersion> newestServed(const BackEnd &backEnd) const
    {
        for (std::uint64_t snapshot = 100; snapshot > 0; --snapshot) {
            if (runAt(backEnd, {}, {snapshot})) {
                return SnapshotVersion{snapshot};
            }
        }
        return std::nullopt;
    }

    const Simulation::World &m_world;
    std::function<bool(const std::string &)> m_works;
};
}
