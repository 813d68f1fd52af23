#include "quetzallift/app/settings.h"

#include "quetzallift/edge/jsonfields.h"
#include "quetzallift/edge/socketaddress.h"
#include "quetzallift/model/error.h"

#include <nlohmann/json.hpp>

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

HostIdentity decodeHost(JsonFields fields)
{
    HostIdentity host;
    host.name = fields.text("name", MaximumNameLength);
    host.address = address(fields, "address");
    host.peerAddress = address(fields, "peer_address");
    host.dataCentre = fields.text("data_centre", MaximumNameLength);
    host.region = fields.text("region", MaximumNameLength);
    host.trafficThreads = static_cast<unsigned>(fields.integer("traffic_threads", 1, MaximumTrafficThreads, 2));
    host.stopLimit = fields.milliseconds("stop_limit_ms", std::chrono::milliseconds(1), std::chrono::hours(1), host.stopLimit);
    fields.rejectUnknown();
    return host;
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
    const nlohmann::json document = parseJson(readFile(file), Step::Settings, file, true);
    JsonFields fields(document, Step::Settings, file);
    Settings settings;
    settings.host = decodeHost(fields.object("host"));
    JsonFields platform = fields.object("platform");
    settings.platform = address(platform, "address");
    platform.rejectUnknown();
    if (fields.has("experiment")) {
        JsonFields experiment = fields.object("experiment");
        settings.naive = experiment.flag("naive", false);
        experiment.rejectUnknown();
    }
    fields.rejectUnknown();
    return settings;
}
}
