#include "quetzallift/app/settings.h"

#include "quetzallift/edge/jsonfields.h"
#include "quetzallift/edge/signature.h"
#include "quetzallift/edge/socketaddress.h"
#include "quetzallift/model/error.h"

#include <nlohmann/json.hpp>

#include <cmath>
#include <fstream>
#include <sstream>

namespace Quetzallift
{
namespace
{
constexpr std::size_t MaximumNameLength = 256;
constexpr unsigned MaximumTrafficThreads = 64;

std::string address(JsonFields &fields, const std::string &name)
{
    std::string text = fields.text(name, MaximumNameLength);
    try {
        parseAddress(text);
    } catch (const Error &) {
        fields.fail(name, "IP:PORT with a port from 1 to 65535");
    }
    return text;
}

HostIdentity decodeHost(JsonFields &fields)
{
    HostIdentity host;
    host.name = fields.text("name", MaximumNameLength);
    host.address = address(fields, "address");
    host.peerAddress = address(fields, "peer_address");
    host.dataCentre = fields.text("data_centre", MaximumNameLength);
    host.region = fields.text("region", MaximumNameLength);
    host.regions = fields.textMap("regions");
    host.firstStart = fields.flag("first_start", false);
    host.trafficThreads = static_cast<unsigned>(fields.integer("traffic_threads", 1, MaximumTrafficThreads, 2));
    ReloadableSettings &times = host.reloadable;
    times.stopLimit = fields.milliseconds("stop_limit_ms", std::chrono::milliseconds(1), std::chrono::hours(1), times.stopLimit);
    times.addressesTtl = fields.milliseconds("addresses_keep_ms", Duration::zero(), std::chrono::minutes(10), times.addressesTtl);
    // Peers that have not yet heard of a stop go on naming the host for about two seconds.
    constexpr Duration AddressesMargin = std::chrono::seconds(2);
    times.leaveGracePeriod = fields.milliseconds("addresses_used_ms", Duration::zero(), std::chrono::minutes(10), times.addressesTtl + AddressesMargin);
    // Far more cores than any host has.
    constexpr double MaximumCores = 4096.0;
    constexpr double CapacityUnits = 1000.0;
    const double processorShare = fields.number("processor_share", 0.0, MaximumCores, 0.0);
    host.capacity = static_cast<unsigned>(std::lround(processorShare * fields.number("processor_speed", 0.0, MaximumCores, 1.0) * CapacityUnits));
    host.cell = fields.text("cell", std::string(), MaximumNameLength);
    host.peers = fields.texts("peers");
    return host;
}

// Zero stands for a limit that is not known.
HostResources decodeResources(JsonFields &fields)
{
    constexpr std::uint64_t Megabyte = std::uint64_t{1024} * 1024;
    constexpr std::uint64_t MaximumMegabytes = Megabyte;
    constexpr std::uint64_t MaximumDescriptors = 1U << 24U;
    HostResources resources;
    const std::uint64_t megabytes = fields.integer("memory_mb", 0, MaximumMegabytes, 0);
    const std::uint64_t descriptors = fields.integer("file_descriptors", 0, MaximumDescriptors, 0);
    resources.memoryBytes = megabytes > 0 ? megabytes * Megabyte : resources.memoryBytes;
    resources.fileDescriptors = descriptors > 0 ? descriptors : resources.fileDescriptors;
    return resources;
}
}

namespace
{
Approvers decodeApprovers(JsonFields &fields)
{
    Approvers approvers;
    for (JsonFields &item : fields.objects("approvers")) {
        const std::string name = item.text("name", MaximumNameLength);
        const std::string key = item.text("public_key", MaximumNameLength);
        if (!isPublicKey(key)) {
            item.fail("public_key", "an Ed25519 public key: 64 hexadecimal digits");
        }
        if (!approvers.emplace(name, key).second) {
            item.fail("name", "a name that no other approver has");
        }
        item.rejectUnknown();
    }
    if (approvers.empty()) {
        fields.fail("approvers", "a list with at least one approver; without one no bundle could be adopted");
    }
    return approvers;
}
}

namespace
{
RouteSettings decodeRouteSettings(JsonFields fields, RetryAllowance &allowance)
{
    RouteSettings routes;
    routes.directoryAddress = address(fields, "directory_address");
    routes.readinessAddress = address(fields, "readiness_address");
    routes.metricsAddress = address(fields, "metrics_address");
    allowance.ratio = fields.number("retry_ratio", 0.0, 1.0, allowance.ratio);
    allowance.slack = fields.number("retry_slack", 0.0, 1e6, allowance.slack);
    allowance.window = fields.milliseconds("retry_window_ms", std::chrono::milliseconds(1), std::chrono::hours(1), allowance.window);
    fields.rejectUnknown();
    return routes;
}
}

namespace
{
// The platform's rates, of which the hosts use a part.
CallBudget decodeCallBudget(JsonFields &platform)
{
    constexpr double HighestRate = 1e9;
    constexpr double ReadShare = 0.75;
    constexpr double WriteShare = 0.625;
    CallBudget budget;
    budget.fleetReadsPerSecond = ReadShare * platform.number("reads_per_s", 1.0, HighestRate, budget.fleetReadsPerSecond / ReadShare);
    budget.fleetWritesPerSecond = WriteShare * platform.number("writes_per_s", 1.0, HighestRate, budget.fleetWritesPerSecond / WriteShare);
    return budget;
}
}

std::string readFile(const std::string &file)
{
    std::ifstream stream(file, std::ios::binary);
    if (!stream) {
        throw Error(Step::Settings, file, "the file cannot be read");
    }
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

Settings readSettings(const std::string &file)
{
    return decodeSettings(readFile(file), file);
}

Settings decodeSettings(const std::string &text, const std::string &source)
{
    const nlohmann::json document = parseJson(text, Step::Settings, source, true);
    JsonFields fields(document, Step::Settings, source);
    Settings settings;
    JsonFields host = fields.object("host");
    settings.host = decodeHost(host);
    settings.resources = decodeResources(host);
    host.rejectUnknown();
    JsonFields platform = fields.object("platform");
    settings.platform = address(platform, "address");
    settings.callBudget = decodeCallBudget(platform);
    platform.rejectUnknown();
    if (fields.has("routes")) {
        settings.routes = decodeRouteSettings(fields.object("routes"), settings.host.reloadable.allowance);
    } else {
        settings.approvers = decodeApprovers(fields);
    }
    if (fields.has("experiment")) {
        JsonFields experiment = fields.object("experiment");
        settings.naive = experiment.flag("naive", false);
        experiment.rejectUnknown();
    }
    fields.rejectUnknown();
    return settings;
}
}
