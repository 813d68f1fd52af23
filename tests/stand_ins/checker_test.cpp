#include "stand_ins/load/checker.h"

#include "stand_ins/data.h"

#include <nlohmann/json.hpp>

#include <criterion/criterion.h>

using namespace Load;
using nlohmann::json;

namespace
{
const json Bundle = json::parse(R"({"back_ends":[{"name":"guide-app","layouts":[
    {"first_snapshot":1,"shards":[{"id":0,"weight":2},{"id":1,"weight":3}]},
    {"first_snapshot":5,"shards":[{"id":0,"weight":2},{"id":1,"weight":2},{"id":2,"weight":1}]}]}]})");

// A true answer for one snapshot that covers the given shards of a layout of total weight 5.
json answerFor(std::uint64_t snapshot, const std::vector<std::uint64_t> &covered, const std::vector<std::uint64_t> &missing, std::uint64_t weight)
{
    json answer = {{"status", missing.empty() ? "whole" : "partial"}, {"snapshot", snapshot}, {"rows", json::array()}, {"missing", json::array()}};
    for (const std::uint64_t shard : covered) {
        const Quetzallift::Row row = StandIns::rowsForKey("guide-app", {shard}, {snapshot}, "k").at(0);
        answer["rows"].push_back({{"key", row.key}, {"text", row.text}});
    }
    for (const std::uint64_t shard : missing) {
        answer["missing"].push_back({{"shard", shard}});
    }
    answer["coverage"] = {
        {"weight_covered", weight}, {"weight_total", 5}, {"shards_covered", covered.size()}, {"shards_total", covered.size() + missing.size()}};
    return answer;
}

Verdict verdictOn(const json &answer, double minimumCoverage = 0.5)
{
    return Checker(Bundle).check("guide-app", "k", minimumCoverage, answer);
}
}

// Guards against runs that report right answers as wrong after a repartition or for a partial answer.
Test(checker, acceptsTrueAnswersUnderTheLayoutOfTheirSnapshot)
{
    cr_assert(verdictOn(answerFor(4, {0, 1}, {}, 5)) == Verdict::Right);
    cr_assert(verdictOn(answerFor(5, {0, 1, 2}, {}, 5)) == Verdict::Right);
    cr_assert(verdictOn(answerFor(4, {1}, {0}, 3)) == Verdict::Right);
}

// Guards against runs that pass although an answer mixes snapshots or belongs to another query.
Test(checker, findsRowsThatTheSnapshotDoesNotHave)
{
    json mixed = answerFor(4, {0, 1}, {}, 5);
    mixed["rows"][1] = answerFor(3, {1}, {0}, 3)["rows"][0];
    cr_assert(verdictOn(mixed) == Verdict::Wrong);
    json foreign = answerFor(4, {0, 1}, {}, 5);
    foreign["rows"][0]["key"] = "other";
    cr_assert(verdictOn(foreign) == Verdict::Wrong);
}

// Guards against runs that pass although an answer hides what it lacks.
Test(checker, findsCoverageThatIsNotTrue)
{
    json lacking = answerFor(4, {0, 1}, {}, 5);
    lacking["rows"].erase(1);
    cr_assert(verdictOn(lacking) == Verdict::SilentPartial);
    cr_assert(verdictOn(answerFor(4, {1}, {0}, 5)) == Verdict::SilentPartial, "the weight covers the missing shard");
    cr_assert(verdictOn(answerFor(4, {1}, {0}, 3), 0.9) == Verdict::SilentPartial, "the answer is below the caller's minimum");
}
