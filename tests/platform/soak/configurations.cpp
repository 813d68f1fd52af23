#include "tests/platform/soak/configurations.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Soak
{
using namespace Quetzallift;
using nlohmann::json;

namespace
{
json route(const char *name, const std::string &prefix, const char *kind, Duration timeout)
{
    return {{"name", name},
            {"hostname", ClientHost},
            {"path-prefix", prefix},
            {"route-type", kind},
            {"timeout-ms", std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count()},
            {"target-latency-ms", 200},
            {"priority", 1},
            {"max-attempts", MaximumAttempts}};
}

json service(const std::string &name)
{
    return {{"name", name}, {"health-check-path", "/health"}, {"connection-limit", 30}};
}
}

std::string shardName(unsigned set, unsigned shard)
{
    return "set" + std::to_string(set) + "-shard" + std::to_string(shard);
}

unsigned shardsIn(unsigned set)
{
    return set == 0 ? ShardsInFirstSet : ShardsInSecondSet;
}

json Configuration::document() const
{
    json lookup = route("lookup", "/lookup/", "idempotent", timeout);
    lookup["service"] = lookupService;
    json payment = route("payment", "/payment/", "non_idempotent", timeout);
    payment["service"] = "desk";
    json catalogue = route("catalogue", "/catalogue/", "idempotent", timeout);
    catalogue["top-k"] = RecordLimit;
    catalogue["min-shard-ratio"] = LeastCoverage;
    for (unsigned shard = 0; shard < shardsIn(shardSet); ++shard) {
        catalogue["fan-out"].push_back(shardName(shardSet, shard));
    }
    json routes = {lookup, payment, catalogue};
    for (std::uint64_t shown = version > 1 ? version - 1 : version; shown <= version; ++shown) {
        json versionRoute = route("version", Configurations::versionPath(shown), "idempotent", timeout);
        versionRoute["name"] = "version-" + std::to_string(shown);
        versionRoute["service"] = "desk";
        routes.push_back(versionRoute);
    }
    json services = {service("desk"), service("web")};
    for (unsigned set = 0; set < ShardSets; ++set) {
        for (unsigned shard = 0; shard < shardsIn(set); ++shard) {
            services.push_back(service(shardName(set, shard)));
        }
    }
    return {{"version", version}, {"routes", routes}, {"services", services}, {"limits", {{"header-bytes", 16384}, {"idle-timeout-ms", 8000}}}};
}

Configurations::Configurations()
{
    Configuration first;
    first.version = 1;
    first.lookupService = "desk";
    m_versions.push_back(first);
}

const Configuration &Configurations::newest() const
{
    return m_versions.back();
}

Configuration &Configurations::add(bool moveLookups, bool reshard)
{
    Configuration next = m_versions.back();
    ++next.version;
    if (moveLookups) {
        next.lookupService = next.lookupService == "desk" ? "web" : "desk";
    }
    if (reshard) {
        next.shardSet = (next.shardSet + 1) % ShardSets;
    }
    return m_versions.emplace_back(next);
}

bool Configurations::allowsLookups(const std::string &service) const
{
    return std::any_of(m_versions.begin(), m_versions.end(), [&service](const Configuration &version) {
        return version.lookupService == service;
    });
}

std::string Configurations::versionPath(std::uint64_t version)
{
    return "/version/" + std::to_string(version) + "/";
}
}
