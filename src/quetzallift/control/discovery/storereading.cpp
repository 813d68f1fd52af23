#include "quetzallift/control/discovery/storereading.h"

#include "quetzallift/control/watchers.h"
#include "quetzallift/core/reducecontext.h"

#include <algorithm>

namespace Quetzallift
{
namespace
{
constexpr std::size_t ReadersPerDataCentre = 1;
// The oldest that the reader lets its tables become between two reads.
constexpr Duration ReadCycle = std::chrono::milliseconds(1400);
constexpr Duration ShortestWatch = std::chrono::milliseconds(100);
// Longer than the reader's cycle and the way of a confirmation. Short enough that a host that has
// lost its reader is up to date again within the three seconds in which a change must take effect.
constexpr Duration RelayTimeout = std::chrono::milliseconds(1900);
// How long a host waits to discover other hosts before it reads for them. Longer at the first start of a fleet, where all
// hosts have to discover each other.
constexpr Duration SettleTime = std::chrono::milliseconds(200);
constexpr Duration FirstSettleTime = std::chrono::seconds(2);
// How much longer a host waits for the tables of the reader.
constexpr Duration TablesTimeout = std::chrono::milliseconds(500);
constexpr Duration FirstTablesTimeout = std::chrono::seconds(2);
constexpr Duration MinimumCheckInterval = std::chrono::milliseconds(100);

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

bool isStoreReader(const ReduceContext &context)
{
    return isWatcher(context.state.control, ReadersPerDataCentre);
}

bool mustReadStore(const ReduceContext &context)
{
    const ControlState &state = context.state.control;
    const Duration running = context.now - state.fleet.startedAt;
    const Duration settleDuration = settleTime(state.self);
    if (isStoreReader(context)) {
        return running >= settleDuration;
    }
    const std::optional<TimePoint> &relayedReadAt = state.discovery.relayedReadAt;
    if (relayedReadAt && context.now - *relayedReadAt < RelayTimeout) {
        return false;
    }
    return running >= settleDuration + (state.self.firstStart ? FirstTablesTimeout : TablesTimeout);
}

Duration watchTime(const ReduceContext &context, const std::optional<TimePoint> &readAt, Duration longest)
{
    const Duration left = readAt ? *readAt + ReadCycle - context.now : longest;
    return std::clamp(left, ShortestWatch, longest);
}

void recordConfirmation(ReduceContext &context, const std::string &source, TimePoint readAt)
{
    DiscoveryState &discovery = context.state.control.discovery;
    const bool newer = !discovery.searchersReadAt || readAt > *discovery.searchersReadAt;
    if (source == discovery.confirmedBy || !newer) {
        return;
    }
    const auto ageMs = [&context](TimePoint at) {
        return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(context.now - at).count());
    };
    context.emit(WriteLog{{LogLevel::Info,
                           Step::Watch,
                           source,
                           {},
                           "searchers are confirmed by another source",
                           {{"before", discovery.confirmedBy.empty() ? "none" : discovery.confirmedBy},
                            {"age_ms", ageMs(readAt)},
                            {"age_before_ms", discovery.searchersReadAt ? ageMs(*discovery.searchersReadAt) : "none"},
                            {"version", std::to_string(discovery.searchersVersion)}}}});
    discovery.confirmedBy = source;
}

void scheduleReadCheck(ReduceContext &context, TimerKind timer)
{
    const std::optional<TimePoint> &relayedReadAt = context.state.control.discovery.relayedReadAt;
    const TimePoint due = relayedReadAt ? *relayedReadAt + RelayTimeout : context.now;
    context.emit(StartTimer{{timer, 0}, std::max(due, context.now + MinimumCheckInterval)});
}
}
