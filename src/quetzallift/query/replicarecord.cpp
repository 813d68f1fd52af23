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

bool ReplicaRecord::recordSnapshots(AttemptId attempt, const SubReply &reply)
{
    const bool named = reply.newestSnapshot.value != 0 && reply.oldestSnapshot <= reply.newestSnapshot;
    if (!named || attempt < newestAttempt) {
        return false;
    }
    newestAttempt = attempt;
    const bool changed = oldestSnapshot != reply.oldestSnapshot || newestSnapshot != reply.newestSnapshot;
    oldestSnapshot = reply.oldestSnapshot;
    newestSnapshot = reply.newestSnapshot;
    return changed;
}

void ReplicaRecord::recordLatency(Duration latency)
{
    // Steps whose size does not depend on the sample approach the median: one straggler must not make a replica look slow
    // to the next hedge. With steps of an eighth, a searcher that becomes ten times slower is detected after about 20 replies.
    constexpr int Steps = 8;
    if (!usualLatency) {
        usualLatency = latency;
        return;
    }
    const Duration step = std::min(*usualLatency / Steps + Duration(1), std::chrono::abs(latency - *usualLatency));
    *usualLatency += latency < *usualLatency ? -step : step;
}
}
