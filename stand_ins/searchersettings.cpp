#include "stand_ins/searchersettings.h"

#include <nlohmann/json.hpp>

namespace StandIns
{
using namespace Quetzallift;

namespace
{
void updateDuration(const nlohmann::json &settings, const char *name, Duration &value)
{
    if (settings.contains(name)) {
        value = std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(settings[name].get<double>()));
    }
}
}

void SearcherSettings::update(const nlohmann::json &settings)
{
    address = settings.value("address", address);
    backEnd = settings.value("back_end", backEnd);
    dataCentre = settings.value("data_centre", dataCentre);
    if (settings.contains("holdings")) {
        holdings.clear();
        for (const nlohmann::json &holding : settings["holdings"]) {
            holdings[holding.at("first_snapshot")] = holding.at("shards").get<std::set<std::uint64_t>>();
        }
    }
    slots = settings.value("slots", slots);
    queueLimit = settings.value("queue", queueLimit);
    connectionLimit = settings.value("connections", connectionLimit);
    updateDuration(settings, "connection_cost_ms", connectionCost);
    oldestSnapshot = settings.value("oldest_snapshot", oldestSnapshot);
    newestSnapshot = settings.value("newest_snapshot", newestSnapshot);
    draining = settings.value("draining", draining);
    updateDuration(settings, "cold_ms", coldFor);
    coldFactor = settings.value("cold_factor", coldFactor);
    updateDuration(settings, "health_lag_ms", healthLag);
}

bool SearcherSettings::holds(std::uint64_t shard, std::uint64_t snapshot) const
{
    const auto after = holdings.upper_bound(snapshot);
    return after != holdings.begin() && std::prev(after)->second.contains(shard);
}
}
