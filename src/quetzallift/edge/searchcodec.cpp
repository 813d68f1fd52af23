#include "quetzallift/edge/searchcodec.h"

#include "quetzallift/edge/jsonfields.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Quetzallift
{
namespace
{
constexpr std::size_t MaximumRowTextLength = 65536;

SubReplyStatus statusOf(const std::string &name)
{
    if (name == "shed") {
        return SubReplyStatus::Shed;
    }
    if (name == "draining") {
        return SubReplyStatus::Draining;
    }
    if (name == "snapshot_gone") {
        return SubReplyStatus::SnapshotGone;
    }
    return name == "shard_not_held" ? SubReplyStatus::ShardNotHeld : SubReplyStatus::Ok;
}
}

std::string encodeSubRequest(const SubRequest &request, AttemptId attempt, TimePoint now)
{
    const std::chrono::duration<double, std::milli> left = std::max(request.deadline - now, Duration::zero());
    nlohmann::json document = {
        {"request", request.requestId},
        {"attempt", attempt.value},
        {"back_end", request.backEnd},
        {"shard", request.shard.value},
        {"snapshot", request.snapshot.value},
        {"deadline_ms", left.count()},
    };
    document[request.key.empty() ? "text" : "key"] = request.key.empty() ? request.text : request.key;
    return document.dump();
}

SubReply decodeSubReply(const std::string &body, const std::string &searcher)
{
    constexpr std::uint64_t Unbounded = UINT64_MAX;
    const nlohmann::json document = parseJson(body, Step::Gather, searcher);
    JsonFields fields(document, Step::Gather, searcher);
    SubReply reply;
    reply.requestId = fields.text("request");
    reply.attempt.value = fields.integer("attempt", 0, Unbounded);
    reply.shard.value = fields.integer("shard", 0, Unbounded);
    reply.snapshot.value = fields.integer("snapshot", 0, Unbounded);
    reply.status = statusOf(fields.choice("status", {"ok", "shed", "draining", "snapshot_gone", "shard_not_held"}, "ok"));
    reply.truncated = fields.flag("truncated", false);
    reply.oldestSnapshot.value = fields.integer("oldest_snapshot", 0, Unbounded, 0);
    reply.newestSnapshot.value = fields.integer("newest_snapshot", 0, Unbounded, 0);
    reply.leaving = fields.flag("leaving", false);
    for (JsonFields &row : fields.objects("rows")) {
        reply.rows.push_back({row.text("key", std::string()), row.text("text", std::string(), MaximumRowTextLength)});
    }
    return reply;
}

bool decodeHealth(const std::string &body)
{
    const nlohmann::json document = nlohmann::json::parse(body, nullptr, false);
    return document.is_object() && document.value("status", nlohmann::json()) == "ok";
}
}
