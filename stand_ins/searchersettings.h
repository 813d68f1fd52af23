#pragma once

#include "quetzallift/model/time.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace StandIns
{
// How one searcher is set up.
struct SearcherSettings {
    std::string address;
    std::string backEnd;
    std::string dataCentre;
    // Shards of which it holds a replica, by the first snapshot from which on this holds.
    std::map<std::uint64_t, std::set<std::uint64_t>> holdings;
    unsigned slots = 2;
    // Sub-requests that may wait for a slot; above it the searcher sheds.
    std::size_t queueLimit = 64;
    unsigned connectionLimit = 25;
    // Time that the first request on a new connection waits.
    Quetzallift::Duration connectionCost = std::chrono::milliseconds(5);
    std::uint64_t oldestSnapshot = 1;
    std::uint64_t newestSnapshot = 1;
    bool draining = false;
    // For this long after its start it works slower by this factor.
    Quetzallift::Duration coldFor = Quetzallift::Duration::zero();
    double coldFactor = 5.0;
    // How far the health page lags behind.
    Quetzallift::Duration healthLag = Quetzallift::Duration::zero();

    // Takes over the fields that the settings have.
    void update(const nlohmann::json &settings);

    // True if it holds the shard at the snapshot.
    bool holds(std::uint64_t shard, std::uint64_t snapshot) const;
};
}
