#include "quetzallift/edge/statuscodec.h"

#include <nlohmann/json.hpp>

namespace Quetzallift
{
std::string encodeStatus(const std::string &host, const ControlSnapshotPtr &control, TimePoint now, WallTime wallNow)
{
    const auto wallMillis = [&](TimePoint time) {
        const WallTime wall = wallNow - std::chrono::duration_cast<WallTime::duration>(now - time);
        return std::chrono::floor<std::chrono::milliseconds>(wall.time_since_epoch()).count();
    };
    nlohmann::ordered_json document = {{"host", host}, {"generation", 0}};
    if (control) {
        document["generation"] = control->generation.value;
        document["digest"] = control->bundle->digest;
        document["since_ms"] = wallMillis(control->adoptedAt);
        document["state"] = control->leaving ? "leaving" : "live";
        document["platform"] = {{"reachable", control->platformReachable}, {"since_ms", wallMillis(control->platformSince)}};
    }
    return document.dump();
}
}
