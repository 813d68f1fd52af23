#include "quetzallift/control/watchers.h"

#include "quetzallift/control/hostlist.h"
#include "quetzallift/control/membership.h"
#include "quetzallift/control/platformcalls.h"
#include "quetzallift/control/rollout.h"
#include "quetzallift/core/reducecontext.h"
#include "quetzallift/model/rendezvous.h"

namespace Quetzallift
{
namespace
{
constexpr Duration MinimumPollPeriod = std::chrono::seconds(30);
// Limits the hosts that do not watch to 20 reads of an object per second on average, in total.
constexpr Duration PollPerHost = std::chrono::milliseconds(50);

std::uint64_t watcherWeight(const std::string &dataCentre, const std::string &name)
{
    return rendezvousWeight("watch/" + dataCentre, name);
}

bool isCandidate(const ControlState &state, const Member &member)
{
    return isServing(member) && member.info.dataCentre == state.fleet.self.dataCentre;
}
}

bool isWatcher(const ControlState &state, std::size_t watchers)
{
    const MemberUpdate &self = state.fleet.self;
    if (self.status != MemberStatus::Live) {
        return false;
    }
    const std::uint64_t own = watcherWeight(self.dataCentre, self.name);
    std::size_t before = 0;
    for (const auto &[name, member] : state.fleet.members) {
        if (isCandidate(state, member) && watcherWeight(self.dataCentre, name) > own) {
            ++before;
        }
    }
    return before < watchers;
}

const Member *firstWatcher(const ControlState &state)
{
    const MemberUpdate &self = state.fleet.self;
    const Member *first = nullptr;
    std::uint64_t highest = self.status == MemberStatus::Live ? watcherWeight(self.dataCentre, self.name) : 0;
    for (const auto &[name, member] : state.fleet.members) {
        const std::uint64_t weight = isCandidate(state, member) ? watcherWeight(self.dataCentre, name) : 0;
        if (weight > highest) {
            first = &member;
            highest = weight;
        }
    }
    return first;
}

Duration pollPeriod(ReduceContext &context)
{
    const Duration period = std::max(MinimumPollPeriod, PollPerHost * static_cast<int>(fleetSize(context.state.control)));
    return period / 2 + jitter(context, period);
}

void updateWatching(ReduceContext &context)
{
    ControlState &state = context.state.control;
    const bool watcher = isWatcher(state, BundleWatchers);
    if (watcher == state.watching) {
        return;
    }
    state.watching = watcher;
    if (watcher && state.active) {
        // Ends the wait of a host that polled; a timer that is still set has an older number and is ignored.
        ++state.pollSerial;
        watchRollout(context);
        readHostList(context);
    }
}
}
