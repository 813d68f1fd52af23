#include "quetzallift/edge/sharescodec.h"

#include "quetzallift/edge/jsonfields.h"

#include <nlohmann/json.hpp>

namespace Quetzallift
{
namespace
{
constexpr std::size_t MaximumNameLength = 256;
constexpr std::uint64_t MaximumPart = 1000;

nlohmann::json encodeEpoch(const SharesEpoch &epoch)
{
    nlohmann::json hosts = nlohmann::json::array();
    for (const SharesHost &host : epoch.hosts) {
        hosts.push_back({{"name", host.name}, {"process", host.process}, {"part", host.part}});
    }
    return {{"epoch", epoch.epoch}, {"hosts", std::move(hosts)}};
}

SharesEpoch decodeEpoch(JsonFields &fields)
{
    SharesEpoch epoch;
    epoch.epoch = fields.integer("epoch", 1, UINT64_MAX);
    for (JsonFields &item : fields.objects("hosts")) {
        SharesHost host;
        host.name = item.text("name", MaximumNameLength);
        host.process = item.integer("process", 0, UINT64_MAX);
        host.part = static_cast<unsigned>(item.integer("part", 0, MaximumPart, 1));
        epoch.hosts.push_back(std::move(host));
    }
    return epoch;
}
}

nlohmann::json encodeShares(const SharesRecord &record)
{
    nlohmann::json document = {{"current", encodeEpoch(record.current)}, {"earlier", nlohmann::json::array()}};
    for (const SharesEpoch &epoch : record.earlier) {
        document["earlier"].push_back(encodeEpoch(epoch));
    }
    return document;
}

SharesRecord decodeShares(const nlohmann::json &document, const std::string &source)
{
    JsonFields fields(document, Step::Renew, source);
    SharesRecord record;
    JsonFields current = fields.object("current");
    record.current = decodeEpoch(current);
    for (JsonFields &item : fields.objects("earlier")) {
        record.earlier.push_back(decodeEpoch(item));
    }
    return record;
}
}
