#include "quetzallift/edge/platformcodec.h"

#include "quetzallift/edge/bundlecodec.h"
#include "quetzallift/edge/burncodec.h"
#include "quetzallift/edge/jsonfields.h"
#include "quetzallift/edge/sharescodec.h"
#include "quetzallift/model/error.h"

#include <nlohmann/json.hpp>

namespace Quetzallift
{
namespace
{
nlohmann::json encode(const std::monostate &)
{
    return nlohmann::json::object();
}

// Rejects values of a metadata store of routes and searchers, which the object API does not store.
[[noreturn]] void rejectValue(const char *value)
{
    throw Error(Step::Prepare, "platform", std::string("the object API of bundles does not store ") + value);
}

[[noreturn]] nlohmann::json encode(const RouteTablePtr &)
{
    rejectValue("routes");
}

[[noreturn]] nlohmann::json encode(const SearcherPage &)
{
    rejectValue("searchers");
}

[[noreturn]] nlohmann::json encode(const ListedHost &)
{
    rejectValue("host entries");
}

std::uint64_t encodeWallTime(WallTime time)
{
    return static_cast<std::uint64_t>(std::chrono::floor<std::chrono::milliseconds>(time.time_since_epoch()).count());
}

// Encodes the fields that RolloutRecord and PastRollout have in common.
template<typename Record>
nlohmann::json encodeGeneration(const Record &record)
{
    return {
        {"generation", record.generation.value},
        {"digest", record.digest},
        {"token", record.token},
        {"operator", record.operatorName},
        {"rolled_at_ms", encodeWallTime(record.rolledAt)},
    };
}

nlohmann::json encode(const Approval &approval)
{
    return {{"approver", approval.approver}, {"signature", approval.signature}};
}

nlohmann::json encode(const RolloutRecord &record)
{
    nlohmann::json document = encodeGeneration(record);
    document["approval"] = encode(record.approval);
    document["past"] = nlohmann::json::array();
    for (const PastRollout &past : record.past) {
        document["past"].push_back(encodeGeneration(past));
    }
    return document;
}

nlohmann::json encode(const ClaimRecord &record)
{
    return {
        {"token", record.token},
        {"host", record.host},
        {"fingerprint", record.fingerprint},
        {"finished", record.finished},
        {"answer", record.answer},
        {"released", record.released},
    };
}

nlohmann::json encode(const BurnRecord &record)
{
    return encodeBurn(record);
}

nlohmann::json encode(const BundlePtr &bundle)
{
    return nlohmann::json::parse(bundle->content);
}

nlohmann::json encode(const HostListRecord &)
{
    throw Error(Step::Join, "platform", "the host list is read-only; the platform writes it");
}

nlohmann::json encode(const SharesRecord &record)
{
    return encodeShares(record);
}

// The latest time in milliseconds that the system clock can represent in nanoseconds.
constexpr std::uint64_t LatestMilliseconds = 9'223'372'036'854;

template<typename Record>
Record decodeGeneration(JsonFields &fields)
{
    Record record;
    record.generation.value = fields.integer("generation", 1, UINT64_MAX);
    record.digest = fields.text("digest");
    record.token = fields.text("token");
    record.operatorName = fields.text("operator", std::string());
    record.rolledAt = WallTime(std::chrono::milliseconds(fields.integer("rolled_at_ms", 0, LatestMilliseconds, 0)));
    return record;
}

Approval decodeApproval(JsonFields fields)
{
    Approval approval;
    approval.approver = fields.text("approver", std::string());
    approval.signature = fields.text("signature", std::string());
    return approval;
}

RolloutRecord decodeRollout(JsonFields fields)
{
    auto record = decodeGeneration<RolloutRecord>(fields);
    if (fields.has("approval")) {
        record.approval = decodeApproval(fields.object("approval"));
    }
    for (JsonFields &past : fields.objects("past")) {
        record.past.push_back(decodeGeneration<PastRollout>(past));
    }
    return record;
}

ClaimRecord decodeClaim(JsonFields fields)
{
    constexpr std::size_t MaximumAnswerLength = 1024U * 1024U;
    ClaimRecord record;
    record.token = fields.text("token");
    record.host = fields.text("host");
    record.fingerprint = fields.text("fingerprint", std::string(), MaximumAnswerLength);
    record.finished = fields.flag("finished", false);
    record.released = fields.flag("released", false);
    record.answer = fields.text("answer", std::string(), MaximumAnswerLength);
    return record;
}
}

std::string encodePlatformValue(const PlatformValue &value)
{
    return std::visit(
        [](const auto &record) {
            return encode(record).dump();
        },
        value);
}

PlatformValue decodePlatformValue(const std::string &object, const std::string &body)
{
    const nlohmann::json document = parseJson(body, Step::Watch, object);
    if (object == "rollout") {
        return decodeRollout(JsonFields(document, Step::Watch, object));
    }
    if (object.starts_with("bundle/")) {
        return decodeBundle(document, object);
    }
    if (object == "shares") {
        return decodeShares(document, object);
    }
    if (object.starts_with("approval/")) {
        return decodeApproval(JsonFields(document, Step::Approve, object));
    }
    if (object.starts_with("claim/")) {
        return decodeClaim(JsonFields(document, Step::Claim, object));
    }
    if (object.starts_with("burn/")) {
        return decodeBurn(document, object);
    }
    return {};
}

HostListRecord decodeHostList(const std::string &body)
{
    const std::string source = "host list";
    const nlohmann::json document = parseJson(body, Step::Join, source);
    JsonFields fields(document, Step::Join, source);
    HostListRecord record;
    for (JsonFields &item : fields.objects("hosts")) {
        ListedHost host;
        host.name = item.text("name");
        host.address = item.text("address");
        host.peerAddress = item.text("peer_address", std::string());
        host.dataCentre = item.text("data_centre", std::string());
        host.leaving = item.choice("state", {"live", "leaving"}, "live") == "leaving";
        record.hosts.push_back(std::move(host));
    }
    return record;
}
}
