#include "stand_ins/load/checker.h"

#include "stand_ins/data.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace Load
{
using namespace Quetzallift;
using nlohmann::json;

namespace
{
std::vector<Row> rowsOf(const json &answer)
{
    std::vector<Row> rows;
    for (const json &row : answer.at("rows")) {
        rows.push_back({row.at("key"), row.at("text")});
    }
    return rows;
}
}

Checker::Checker(const json &bundle)
{
    for (const json &backEnd : bundle.at("back_ends")) {
        for (const json &layout : backEnd.at("layouts")) {
            Weights &weights = m_layouts[backEnd.at("name")][layout.at("first_snapshot")];
            for (const json &shard : layout.at("shards")) {
                weights[shard.at("id")] = shard.value("weight", std::uint64_t{1});
            }
        }
    }
}

const Checker::Weights *Checker::layoutAt(const std::string &backEnd, std::uint64_t snapshot) const
{
    const auto layouts = m_layouts.find(backEnd);
    if (layouts == m_layouts.end()) {
        return nullptr;
    }
    const auto after = layouts->second.upper_bound(snapshot);
    return after == layouts->second.begin() ? nullptr : &std::prev(after)->second;
}

Verdict Checker::check(const std::string &backEnd, const std::string &key, double minimumCoverage, const json &answer) const
{
    const auto snapshot = answer.at("snapshot").get<std::uint64_t>();
    const Weights *layout = layoutAt(backEnd, snapshot);
    if (layout == nullptr) {
        return Verdict::Wrong;
    }
    std::set<std::uint64_t> missing;
    for (const json &shard : answer.at("missing")) {
        missing.insert(shard.at("shard").get<std::uint64_t>());
    }
    std::vector<Row> expected;
    std::uint64_t covered = 0;
    std::uint64_t total = 0;
    for (const auto &[shard, weight] : *layout) {
        total += weight;
        if (!missing.contains(shard)) {
            covered += weight;
            const std::vector<Row> rows = StandIns::rowsForKey(backEnd, {shard}, {snapshot}, key);
            expected.insert(expected.end(), rows.begin(), rows.end());
        }
    }
    std::sort(expected.begin(), expected.end());
    const std::vector<Row> rows = rowsOf(answer);
    if (rows != expected) {
        return std::includes(expected.begin(), expected.end(), rows.begin(), rows.end()) ? Verdict::SilentPartial : Verdict::Wrong;
    }
    const json &coverage = answer.at("coverage");
    const bool whole = answer.at("status") == "whole";
    const bool honest = coverage.at("weight_covered") == covered && coverage.at("weight_total") == total && coverage.at("shards_total") == layout->size()
                        && coverage.at("shards_covered") == layout->size() - missing.size() && whole == missing.empty();
    const bool enough = static_cast<double>(covered) >= minimumCoverage * static_cast<double>(total);
    return honest && enough ? Verdict::Right : Verdict::SilentPartial;
}
}
