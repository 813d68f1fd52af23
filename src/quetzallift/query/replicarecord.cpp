#include "quetzallift/query/replicarecord.h"

#include "quetzallift/model/subrequest.h"

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
    // An eighth a sample follows a searcher that turns slow within about ten replies.
    constexpr int Weight = 8;
    usualLatency = usualLatency ? *usualLatency + (latency - *usualLatency) / Weight : latency;
}
}
