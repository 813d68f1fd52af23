#include "quetzallift/control/discovery/registration.h"

#include "quetzallift/control/discovery/discovery.h"
#include "quetzallift/control/platformcalls.h"
#include "quetzallift/core/reducecontext.h"

namespace Quetzallift
{
namespace
{
PlatformRequest hostRequest(const ControlState &state, PlatformVerb verb)
{
    PlatformRequest request;
    request.verb = verb;
    request.object = state.self.name;
    request.version = state.discovery.hostEntryVersion;
    request.value = ListedHost{state.self.name, state.self.address, state.self.peerAddress, state.self.dataCentre, false};
    return request;
}
}

void registerHost(ReduceContext &context)
{
    const ControlState &state = context.state.control;
    const PlatformVerb verb = state.discovery.hostEntryExists ? PlatformVerb::UpdateHost : PlatformVerb::CreateHost;
    callPlatform(context, PlatformPurpose::RegisterHost, hostRequest(state, verb));
}

void handleHostRegistered(ReduceContext &context, const PlatformReply &reply)
{
    DiscoveryState &discovery = context.state.control.discovery;
    if (reply.outcome == PlatformOutcome::Applied) {
        discovery.hostEntryVersion = reply.version;
        discovery.hostEntryExists = true;
        return;
    }
    if (reply.outcome == PlatformOutcome::NotApplied) {
        // An earlier process of this host left an entry, or the entry was deleted in the meantime.
        discovery.hostEntryExists = reply.version != 0;
        discovery.hostEntryVersion = reply.version;
    }
    // Most hosts start with the seeds alone, so this write can wait until the store is available again.
    constexpr Duration Pause = std::chrono::seconds(2);
    context.emit(StartTimer{{TimerKind::HostRegistration, 0}, context.now + jitter(context, Pause)});
}

void removeHostEntry(ReduceContext &context)
{
    const ControlState &state = context.state.control;
    if (state.discovery.hostEntryExists) {
        callPlatform(context, PlatformPurpose::RemoveHost, hostRequest(state, PlatformVerb::DeleteHost));
    }
}
}
