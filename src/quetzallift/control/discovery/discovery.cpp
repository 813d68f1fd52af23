#include "quetzallift/control/discovery/discovery.h"

#include "quetzallift/control/discovery/configuration.h"
#include "quetzallift/control/discovery/registration.h"
#include "quetzallift/control/discovery/relay.h"
#include "quetzallift/control/discovery/searchers.h"
#include "quetzallift/core/reducecontext.h"

namespace Quetzallift
{
void startDiscovery(ReduceContext &context)
{
    // Numbers of an earlier process of this host must not match.
    DiscoveryState &discovery = context.state.control.discovery;
    constexpr unsigned SpareBits = 8;
    discovery.confirmationRequests.startAfter(context.state.hooks.random() >> SpareBits);
    discovery.tablesRequests.startAfter(context.state.hooks.random() >> SpareBits);
    watchConfiguration(context);
    watchSearchers(context);
    registerHost(context);
    schedulePeerTablesPoll(context);
}

void handleDiscoveryTimer(ReduceContext &context, TimerKind kind)
{
    switch (kind) {
    case TimerKind::ConfigurationRead:
        watchConfiguration(context);
        break;
    case TimerKind::SearchersRead:
        watchSearchers(context);
        break;
    case TimerKind::SearcherExpiry:
        expireSearchers(context);
        break;
    case TimerKind::HostRegistration:
        registerHost(context);
        break;
    case TimerKind::PeerTablesPoll:
        pollPeerTables(context);
        break;
    default:
        break;
    }
}
}
