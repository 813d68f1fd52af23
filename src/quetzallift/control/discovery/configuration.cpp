#include "quetzallift/control/discovery/configuration.h"

#include "quetzallift/control/discovery/discovery.h"
#include "quetzallift/control/discovery/retrypause.h"
#include "quetzallift/control/discovery/storereading.h"
#include "quetzallift/control/discovery/tablesupdate.h"
#include "quetzallift/control/platformcalls.h"
#include "quetzallift/control/publish.h"
#include "quetzallift/core/reducecontext.h"

namespace Quetzallift
{
namespace
{
// Hosts that rely on this reader must receive an update within their RelayTimeout, also if nothing changed. The watch
// timeout also limits how long a connection that went silent without a reset stays undetected.
constexpr Duration WatchTimeout = std::chrono::milliseconds(1200);
// A healthy store answers a single read in milliseconds.
constexpr Duration ReadTimeout = std::chrono::milliseconds(800);
}

void watchConfiguration(ReduceContext &context)
{
    const DiscoveryState &discovery = context.state.control.discovery;
    // A restarted host cannot serve requests before it has a configuration, and one read is cheap.
    const bool urgent = !discovery.routes && !context.state.control.self.firstStart;
    if (!urgent && !mustReadStore(context)) {
        scheduleReadCheck(context, TimerKind::ConfigurationRead);
        return;
    }
    PlatformRequest request;
    request.verb = discovery.configurationVersion == 0 ? PlatformVerb::ReadConfiguration : PlatformVerb::WatchConfiguration;
    request.version = discovery.configurationVersion;
    request.timeout = discovery.configurationVersion == 0 ? ReadTimeout : WatchTimeout;
    callPlatform(context, PlatformPurpose::Configuration, std::move(request));
}

bool adoptConfiguration(ReduceContext &context, const RouteTablePtr &routes, const std::string &source)
{
    DiscoveryState &discovery = context.state.control.discovery;
    if (!routes || (discovery.routes && routes->version <= discovery.routes->version)) {
        return false;
    }
    const std::string before = discovery.routes ? std::to_string(discovery.routes->version) : "none";
    discovery.routes = routes;
    context.emit(CountMetric{Metric::BundlesAdopted, {}});
    context.emit(WriteLog{{LogLevel::Info,
                           Step::Adopt,
                           source,
                           {},
                           "configuration in force",
                           {{"configuration", std::to_string(routes->version)}, {"before", before}, {"routes", std::to_string(routes->routes.size())}}}});
    publishSnapshot(context);
    return true;
}

void handleConfigurationReply(ReduceContext &context, const PlatformReply &reply)
{
    DiscoveryState &discovery = context.state.control.discovery;
    if (reply.outcome == PlatformOutcome::Applied) {
        discovery.configurationVersion = reply.version;
        discovery.configurationReadAt = context.now;
        if (const auto *routes = std::get_if<RouteTablePtr>(&reply.value)) {
            adoptConfiguration(context, *routes, "store");
        }
        relayTables(context, discovery.searchersVersion, {});
        watchConfiguration(context);
        return;
    }
    // A new read is also needed if the store no longer has the watched history: only a read returns the current version.
    discovery.configurationVersion = 0;
    context.emit(StartTimer{{TimerKind::ConfigurationRead, 0}, context.now + retryPause(context)});
}
}
