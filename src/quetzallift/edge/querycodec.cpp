#include "quetzallift/edge/querycodec.h"

#include "quetzallift/edge/jsonfields.h"

#include <nlohmann/json.hpp>

namespace Quetzallift
{
namespace
{
constexpr std::size_t MaximumNameLength = 256;
constexpr Duration MinimumDeadline = std::chrono::milliseconds(1);
constexpr Duration MaximumDeadline = std::chrono::minutes(1);
constexpr Duration DefaultDeadline = std::chrono::milliseconds(500);
constexpr std::uint64_t MaximumRows = 100000;
constexpr std::uint64_t DefaultRows = 1000;

nlohmann::json encodeCoverage(const Coverage &coverage)
{
    return {
        {"shards_covered", coverage.shardsCovered},
        {"shards_total", coverage.shardsTotal},
        {"weight_covered", coverage.weightCovered},
        {"weight_total", coverage.weightTotal},
        {"ratio", coverage.ratio()},
    };
}

nlohmann::json encodeMissing(const MissingShard &missing)
{
    return {
        {"shard", missing.shard.value},
        {"step", toString(missing.failure.step)},
        {"peer", missing.failure.peer},
        {"reason", toString(missing.failure.kind)},
        {"detail", missing.failure.detail},
    };
}
}

QueryRequest decodeQuery(const std::string &body, const std::string &peer)
{
    const nlohmann::json document = parseJson(body, Step::Admit, peer);
    JsonFields fields(document, Step::Admit, peer);
    QueryRequest request;
    request.requestId = fields.text("request", MaximumNameLength);
    request.caller = fields.text("caller", MaximumNameLength);
    request.backEnd = fields.text("back_end", MaximumNameLength);
    request.key = fields.text("key", std::string());
    request.text = fields.text("text", std::string());
    request.deadline = fields.milliseconds("deadline_ms", MinimumDeadline, MaximumDeadline, DefaultDeadline);
    request.minimumCoverage = fields.number("minimum_coverage", 0.0, 1.0, 1.0);
    request.repeatable = fields.flag("repeatable", true);
    request.limit = fields.integer("limit", 1, MaximumRows, DefaultRows);
    if (request.key.empty() == request.text.empty()) {
        fields.fail("key", "exactly one of key and text");
    }
    fields.rejectUnknown();
    return request;
}

std::string encodeAnswer(const QueryAnswer &answer)
{
    nlohmann::json document = {
        {"status", toString(answer.status)},
        {"execution", toString(answer.execution)},
        {"snapshot", answer.snapshot.value},
        {"generation", answer.generation.value},
        {"coverage", encodeCoverage(answer.coverage)},
        {"rows", nlohmann::json::array()},
        {"rows_limited", answer.rowsLimited},
        {"missing", nlohmann::json::array()},
    };
    for (const Row &row : answer.rows) {
        document["rows"].push_back({{"key", row.key}, {"text", row.text}});
    }
    for (const MissingShard &missing : answer.missing) {
        document["missing"].push_back(encodeMissing(missing));
    }
    if (!answer.error.empty()) {
        document["error"] = answer.error;
        document["step"] = toString(answer.errorStep);
    }
    return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string encodeRecordedAnswer(const QueryAnswer &answer)
{
    // A value may have at most 1 MB; the rest of the claim object is smaller than the margin.
    constexpr std::size_t MaximumRecordedSize = 1000U * 1000U - 8U * 1024U;
    std::string encoded = encodeAnswer(answer);
    // The claim object holds the answer as a JSON string, in which each quote takes two bytes.
    if (nlohmann::json(encoded).dump().size() <= MaximumRecordedSize) {
        return encoded;
    }
    QueryAnswer shortened = answer;
    shortened.rows.clear();
    shortened.rowsLimited = true;
    shortened.error = "the request ran once; its " + std::to_string(answer.rows.size()) + " rows are too large to be recorded";
    return encodeAnswer(shortened);
}

unsigned httpStatusOf(const QueryAnswer &answer)
{
    constexpr unsigned Ok = 200;
    constexpr unsigned Unavailable = 503;
    constexpr unsigned GatewayTimeout = 504;
    switch (answer.status) {
    case AnswerStatus::Whole:
    case AnswerStatus::Partial:
        return Ok;
    case AnswerStatus::Refused:
        return Unavailable;
    case AnswerStatus::Failed:
        break;
    }
    return GatewayTimeout;
}
}
