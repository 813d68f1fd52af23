#include "quetzallift/control/discovery/discovery.h"

#include "quetzallift/control/discovery/configuration.h"
#include "quetzallift/control/discovery/registration.h"
#include "quetzallift/control/discovery/relay.h"
#include "quetzallift/control/discovery/searchers.h"

namespace Quetzallift
{
void startDiscovery(ReduceContext &context)
{
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
