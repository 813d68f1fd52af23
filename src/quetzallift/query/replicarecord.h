#pragma once

#include "quetzallift/model/ids.h"
#include "quetzallift/model/time.h"

#include <optional>

namespace Quetzallift
{
struct SubReply;

// What genuine replies of one searcher have taught about the snapshots that it serves and its usual latency.
struct ReplicaRecord {
    SnapshotVersion oldestSnapshot;
    SnapshotVersion newestSnapshot;
    // The newest attempt that taught the snapshots: a reply to an older attempt must not undo what a newer one said.
    AttemptId taughtBy;
    std::optional<Duration> usualLatency;

    bool knowsSnapshots() const;
    bool serves(SnapshotVersion snapshot) const;

    // Takes over the snapshots that a reply names. The range may move back, as after a restart of the searcher with an
    // older index. Returns true if it changed.
    bool learnSnapshots(AttemptId attempt, const SubReply &reply);

    // Moves the usual latency, a running median, towards a new one.
    void learnLatency(Duration latency);
};
}
