#include "quetzallift/control/discovery/configuration.h"

#include "quetzallift/control/discovery/confirmation.h"
#include "quetzallift/control/discovery/discovery.h"
#include "quetzallift/control/discovery/retrypause.h"
#include "quetzallift/control/discovery/storereading.h"
#include "quetzallift/control/discovery/tablesupdate.h"
#include "quetzallift/control/platformcalls.h"
#include "quetzallift/control/publish.h"
#include "quetzallift/core/reducecontext.h"

#include <algorithm>

namespace Quetzallift
{
namespace
{
// Also limits how long a connection that went silent without a reset stays undetected.
constexpr Duration LongestWatch = std::chrono::milliseconds(1200);
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
    request.timeout = discovery.configurationVersion == 0 ? ReadTimeout : watchTime(context, discovery.configurationReadAt, LongestWatch);
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

void handleConfigurationReply(ReduceContext &context, const PlatformReply &reply, TimePoint validAt)
{
    DiscoveryState &discovery = context.state.control.discovery;
    if (reply.outcome == PlatformOutcome::Applied) {
        discovery.configurationVersion = reply.version;
        if (!reply.partial) {
            discovery.configurationReadAt = std::max(discovery.configurationReadAt, std::optional(validAt));
        }
        if (const auto *routes = std::get_if<RouteTablePtr>(&reply.value)) {
            adoptConfiguration(context, *routes, "store");
        }
        relayConfiguration(context);
        confirmTables(context);
        watchConfiguration(context);
        return;
    }
    // A new read is also needed if the store no longer has the watched history: only a read returns the current version.
    discovery.configurationVersion = 0;
    context.emit(StartTimer{{TimerKind::ConfigurationRead, 0}, context.now + retryPause(context)});
}
}
