#pragma once

#include "quetzallift/model/failure.h"
#include "quetzallift/model/ids.h"
#include "quetzallift/model/row.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Quetzallift
{
enum class AnswerStatus {
    // Every shard of the snapshot is covered.
    Whole,
    // At least the caller's minimum is covered; the missing shards are listed.
    Partial,
    // Less than the caller's minimum is covered.
    Failed,
    // The entry host did not admit the query.
    Refused,
};

// Whether searchers ran the request, as far as the entry host knows.
enum class Execution {
    NotRun,
    Ran,
    MayHaveRun,
    InDoubt,
};

const char *toString(AnswerStatus status);
const char *toString(Execution execution);

// How much of a snapshot's data an answer covers. A shard counts at most once.
struct Coverage {
    std::uint64_t shardsCovered = 0;
    std::uint64_t shardsTotal = 0;
    std::uint64_t weightCovered = 0;
    std::uint64_t weightTotal = 0;

    // Returns covered weight divided by total weight; 0 if the total is unknown.
    double ratio() const;
};

// A shard that the answer does not cover, and the cause.
struct MissingShard {
    ShardId shard;
    Failure failure;
};

// The answer that the caller receives.
struct QueryAnswer {
    AnswerStatus status = AnswerStatus::Failed;
    Execution execution = Execution::NotRun;
    SnapshotVersion snapshot;
    Generation generation;
    Coverage coverage;
    std::vector<Row> rows;
    // True if rows were omitted because of the request's limit.
    bool rowsLimited = false;
    std::vector<MissingShard> missing;
    // Empty unless the query was refused or failed.
    std::string error;
    Step errorStep = Step::Answer;
};
}
