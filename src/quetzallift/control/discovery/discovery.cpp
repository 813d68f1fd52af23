#include "quetzallift/control/discovery/discovery.h"

#include "quetzallift/control/discovery/configuration.h"
#include "quetzallift/control/discovery/registration.h"
#include "quetzallift/control/discovery/relay.h"
#include "quetzallift/control/discovery/searchers.h"

namespace Quetzallift
{
void startDiscovery(ReduceContext &context)
{
    followConfiguration(context);
    followSearchers(context);
    registerHost(context);
    startPeerTables(context);
}

void handleDiscoveryTimer(ReduceContext &context, TimerKind kind)
{
    switch (kind) {
    case TimerKind::ConfigurationRead:
        followConfiguration(context);
        break;
    case TimerKind::SearchersRead:
        followSearchers(context);
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
