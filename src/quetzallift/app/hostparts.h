#pragma once

#include "quetzallift/app/settings.h"
#include "quetzallift/app/traffic.h"
#include "quetzallift/edge/platformclient.h"

#include <memory>

namespace Quetzallift
{
class Metrics;

// What differs between entry hosts of different platforms.
struct HostParts {
    PlatformCodec platform;
    std::function<RouteTablePtr(const std::string &document)> readRoutes;
    std::function<std::unique_ptr<Traffic>(unsigned number, const Settings &settings, Metrics &metrics, ControlPost post)> makeTraffic;
};

// The parts that the settings ask for: row queries under bundles, or requests under a configuration of routes.
HostParts hostPartsFor(const Settings &settings);
}
