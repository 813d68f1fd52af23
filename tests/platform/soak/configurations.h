#pragma once

#include "quetzallift/model/time.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace Soak
{
// The sizes of the deployment that the soak plays.
constexpr unsigned ShardSets = 2;
constexpr unsigned ShardsInFirstSet = 5;
constexpr unsigned ShardsInSecondSet = 7;
constexpr unsigned RecordLimit = 20;
constexpr double LeastCoverage = 0.6;
constexpr unsigned MaximumAttempts = 2;
constexpr const char *ClientHost = "soak.example";

std::string shardName(unsigned set, unsigned shard);
unsigned shardsIn(unsigned set);

// One version of what the operator wrote.
struct Configuration {
    std::uint64_t version = 0;
    // The service that runs the requests for one searcher, and the shards that scattered ones go to.
    std::string lookupService;
    unsigned shardSet = 0;
    Quetzallift::Duration timeout = std::chrono::seconds(2);
    // When the store acknowledged it.
    Quetzallift::TimePoint acknowledgedAt;

    nlohmann::json document() const;
};

// All versions in the order in which they were written.
class Configurations
{
public:
    Configurations();

    const Configuration &newest() const;

    // Adds a version that differs from the newest in what is asked for.
    Configuration &add(bool moveLookups, bool reshard);

    // True if some version sends requests for one searcher to the service.
    bool allowsLookups(const std::string &service) const;

    // The path under which only this version and the one after it serve requests.
    static std::string versionPath(std::uint64_t version);

private:
    std::vector<Configuration> m_versions;
};
}
