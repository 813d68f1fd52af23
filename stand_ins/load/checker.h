#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace Load
{
enum class Verdict {
    Right,
    // Rows or coverage that the data at the answer's snapshot does not have.
    Wrong,
    // The answer covers less than it says.
    SilentPartial,
};

// Checks answers exactly against the data, which is a function of back end, shard, snapshot and key.
class Checker
{
public:
    // Reads the layouts of a bundle's content.
    explicit Checker(const nlohmann::json &bundle);

    // Judges an answer whose status is whole or partial.
    Verdict check(const std::string &backEnd, const std::string &key, double minimumCoverage, const nlohmann::json &answer) const;

private:
    using Weights = std::map<std::uint64_t, std::uint64_t>;

    const Weights *layoutAt(const std::string &backEnd, std::uint64_t snapshot) const;

    // Weights by shard, by first snapshot, by back end.
    std::map<std::string, std::map<std::uint64_t, Weights>> m_layouts;
};
}
