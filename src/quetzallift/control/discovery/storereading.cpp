#include "quetzallift/control/discovery/storereading.h"

#include "quetzallift/control/watchers.h"
#include "quetzallift/core/reducecontext.h"

#include <algorithm>

namespace Quetzallift
{
namespace
{
constexpr std::size_t ReadersPerDataCentre = 1;
// Longer than the cycle of the reader's two watches, the store's answers included. With it a host that has lost its reader
// is up to date again within the three seconds in which a change must be in force.
constexpr Duration RelayPatience = std::chrono::milliseconds(1900);
// Time to hear of other hosts before this one reads for them; all hosts of a fleet that starts have to find each other.
constexpr Duration SettleTime = std::chrono::milliseconds(200);
constexpr Duration FirstSettleTime = std::chrono::seconds(2);
// How much longer a host waits for the tables of the one that reads.
constexpr Duration TablesPatience = std::chrono::milliseconds(500);
constexpr Duration FirstTablesPatience = std::chrono::seconds(2);
constexpr Duration LeastPause = std::chrono::milliseconds(100);

bool hasPeers(const HostIdentity &self)
{
    return std::any_of(self.peers.begin(), self.peers.end(), [&self](const std::string &peer) {
        return peer != self.peerAddress;
    });
}

Duration settleTime(const HostIdentity &self)
{
    if (!hasPeers(self)) {
        return Duration::zero();
    }
    return self.firstStart ? FirstSettleTime : SettleTime;
}
}

bool readsForOthers(const ReduceContext &context)
{
    return isWatcher(context.state.control, ReadersPerDataCentre);
}

bool mustReadStore(const ReduceContext &context)
{
    const ControlState &state = context.state.control;
    const Duration running = context.now - state.fleet.startedAt;
    const Duration settled = settleTime(state.self);
    if (readsForOthers(context)) {
        return running >= settled;
    }
    const std::optional<TimePoint> &relayedAt = state.discovery.relayedAt;
    if (relayedAt && context.now - *relayedAt < RelayPatience) {
        return false;
    }
    return running >= settled + (state.self.firstStart ? FirstTablesPatience : TablesPatience);
}

void lookAgainLater(ReduceContext &context, TimerKind timer)
{
    const std::optional<TimePoint> &relayedAt = context.state.control.discovery.relayedAt;
    const TimePoint due = relayedAt ? *relayedAt + RelayPatience : context.now;
    context.emit(StartTimer{{timer, 0}, std::max(due, context.now + LeastPause)});
}
}
