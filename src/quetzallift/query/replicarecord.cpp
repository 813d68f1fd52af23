#include "quetzallift/query/replicarecord.h"

#include "quetzallift/model/subrequest.h"

#include <algorithm>

namespace Quetzallift
{
bool ReplicaRecord::knowsSnapshots() const
{
    return newestSnapshot.value != 0;
}

bool ReplicaRecord::serves(SnapshotVersion snapshot) const
{
    return oldestSnapshot <= snapshot && snapshot <= newestSnapshot;
}

bool ReplicaRecord::learnSnapshots(AttemptId attempt, const SubReply &reply)
{
    const bool named = reply.newestSnapshot.value != 0 && reply.oldestSnapshot <= reply.newestSnapshot;
    if (!named || attempt < taughtBy) {
        return false;
    }
    taughtBy = attempt;
    const bool changed = oldestSnapshot != reply.oldestSnapshot || newestSnapshot != reply.newestSnapshot;
    oldestSnapshot = reply.oldestSnapshot;
    newestSnapshot = reply.newestSnapshot;
    return changed;
}

void ReplicaRecord::learnLatency(Duration latency)
{
    // Steps of a fixed size find the median: one straggler must not make a replica look slow to the next hedge. With an
    // eighth a searcher that turns ten times slower is recognised after about 20 replies.
    constexpr int Steps = 8;
    if (!usualLatency) {
        usualLatency = latency;
        return;
    }
    const Duration step = std::min(*usualLatency / Steps + Duration(1), std::chrono::abs(latency - *usualLatency));
    *usualLatency += latency < *usualLatency ? -step : step;
}
}
