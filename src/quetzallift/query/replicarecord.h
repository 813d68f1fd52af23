#pragma once

#include "quetzallift/model/ids.h"
#include "quetzallift/model/time.h"

#include <optional>

namespace Quetzallift
{
struct SubReply;

// The snapshots that a searcher serves and its usual latency, from replies that matched their attempt.
struct ReplicaRecord {
    SnapshotVersion oldestSnapshot;
    SnapshotVersion newestSnapshot;
    // The newest attempt whose reply set the snapshots: a reply to an older attempt must not overwrite them.
    AttemptId newestAttempt;
    std::optional<Duration> usualLatency;

    bool knowsSnapshots() const;
    bool serves(SnapshotVersion snapshot) const;

    // Records the snapshot range in a reply. The range may move back, for example after a restart of the searcher with an
    // older index. Returns true if the range changed.
    bool recordSnapshots(AttemptId attempt, const SubReply &reply);

    // Moves the usual latency, a running median, towards a new sample.
    void recordLatency(Duration latency);
};
}
