#include "quetzallift/app/hostparts.h"

#include "platform/clientprotocol.h"
#include "platform/routesdecoder.h"
#include "platform/storecodec.h"
#include "quetzallift/app/log.h"
#include "quetzallift/app/routingthread.h"
#include "quetzallift/app/trafficthread.h"
#include "quetzallift/model/error.h"

namespace Quetzallift
{
namespace
{
HostParts bundleParts()
{
    HostParts parts;
    parts.makeTraffic = [](unsigned number, const Settings &settings, Metrics &metrics, ControlPost post) {
        return std::make_unique<TrafficThread>(number, settings, metrics, std::move(post));
    };
    return parts;
}

// A document that a peer passed on was read by that peer; one that is broken here shows different versions of the program.
RouteTablePtr readPeerRoutes(const std::string &document)
{
    try {
        return Platform::decodeRoutes(document, "peer");
    } catch (const Error &error) {
        writeLog({LogLevel::Error, error.step(), error.peer(), {}, error.what()}, {}, {});
        return nullptr;
    }
}

HostParts routeParts()
{
    HostParts parts;
    parts.platform = Platform::storeCodec();
    parts.readRoutes = &readPeerRoutes;
    parts.makeTraffic = [](unsigned, const Settings &settings, Metrics &metrics, ControlPost post) {
        return std::make_unique<RoutingThread>(settings, metrics, Platform::clientProtocol(), std::move(post));
    };
    return parts;
}
}

HostParts hostPartsFor(const Settings &settings)
{
    return settings.routes ? routeParts() : bundleParts();
}
}
