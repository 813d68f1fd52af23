#include "quetzallift/edge/burncodec.h"

#include "quetzallift/edge/jsonfields.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace Quetzallift
{
namespace
{
using Windows = std::map<WindowIndex, ServiceTable>;

template<typename Key>
nlohmann::json encodeCauses(const std::map<Key, std::uint64_t> &causes)
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto &[cause, count] : causes) {
        list.push_back({{"name", cause}, {"count", count}});
    }
    return list;
}

nlohmann::json encodeService(const ServiceKey &key, const ServiceCounts &counts)
{
    return {
        {"back_end", key.backEnd},
        {"caller", key.caller},
        {"answers", counts.answers},
        {"slow", counts.slow},
        {"uncovered", counts.uncovered},
        {"refused", counts.refused},
        {"sub_requests", counts.subRequests},
        {"extra_sub_requests", counts.extraSubRequests},
        {"searchers", encodeCauses(counts.missingBySearcher)},
        {"shards", encodeCauses(counts.missingByShard)},
    };
}

nlohmann::json encodeWindows(const Windows &windows)
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto &[window, table] : windows) {
        nlohmann::json services = nlohmann::json::array();
        for (const auto &[key, counts] : table) {
            services.push_back(encodeService(key, counts));
        }
        list.push_back({{"window", window}, {"services", std::move(services)}});
    }
    return list;
}

ServiceCounts decodeCounts(JsonFields &fields)
{
    const auto count = [&](const char *name) {
        return fields.integer(name, 0, UINT64_MAX, 0);
    };
    ServiceCounts counts;
    counts.answers = count("answers");
    counts.slow = count("slow");
    counts.uncovered = count("uncovered");
    counts.refused = count("refused");
    counts.subRequests = count("sub_requests");
    counts.extraSubRequests = count("extra_sub_requests");
    for (JsonFields &cause : fields.objects("searchers")) {
        counts.missingBySearcher[cause.text("name")] = cause.integer("count", 0, UINT64_MAX);
    }
    for (JsonFields &cause : fields.objects("shards")) {
        counts.missingByShard[cause.integer("name", 0, UINT64_MAX)] = cause.integer("count", 0, UINT64_MAX);
    }
    return counts;
}

Windows decodeWindows(JsonFields &fields, const std::string &name)
{
    Windows windows;
    for (JsonFields &item : fields.objects(name)) {
        const auto window = static_cast<WindowIndex>(item.integer("window", 0, INT64_MAX));
        for (JsonFields &service : item.objects("services")) {
            const ServiceKey key{service.text("back_end", std::string()), service.text("caller", std::string())};
            windows[window][key] = decodeCounts(service);
        }
    }
    return windows;
}
}

nlohmann::json encodeBurn(const BurnRecord &record)
{
    const auto written = std::chrono::floor<std::chrono::milliseconds>(record.writtenAt.time_since_epoch());
    return {
        {"host", record.host},
        {"run", record.run},
        {"written_ms", written.count()},
        {"short_windows", encodeWindows(record.shortWindows)},
        {"long_windows", encodeWindows(record.longWindows)},
    };
}

BurnRecord decodeBurn(const nlohmann::json &document, const std::string &object)
{
    JsonFields fields(document, Step::Watch, object);
    BurnRecord record;
    record.host = fields.text("host");
    record.run = fields.text("run");
    record.writtenAt = WallTime(std::chrono::milliseconds(fields.integer("written_ms", 0, INT64_MAX / 1000000)));
    record.shortWindows = decodeWindows(fields, "short_windows");
    record.longWindows = decodeWindows(fields, "long_windows");
    return record;
}
}
