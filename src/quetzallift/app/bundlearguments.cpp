#include "quetzallift/app/bundlearguments.h"

#include "quetzallift/app/settings.h"
#include "quetzallift/edge/bundlecodec.h"
#include "quetzallift/edge/jsonfields.h"
#include "quetzallift/model/error.h"

#include <nlohmann/json.hpp>

#include <array>
#include <ctime>

namespace Quetzallift
{
std::string requiredOption(const char *value, const std::string &command, const std::string &option)
{
    if (value == nullptr || *value == '\0') {
        throw Error(Step::Settings, command, option + " is missing");
    }
    return value;
}

BundlePtr readBundleFile(const std::string &file)
{
    return decodeBundle(parseJson(readFile(file), Step::Prepare, file, true), file);
}

BundlePtr readStoredBundle(const OperatorPlatform &platform, const std::string &digest, Step step)
{
    const PlatformValue value = platform.read("bundle/" + digest, step);
    const auto *bundle = std::get_if<BundlePtr>(&value);
    if (bundle == nullptr) {
        throw Error(step, platform.address(), "there is no bundle " + digest + "; prepare it first");
    }
    if ((*bundle)->digest != digest) {
        throw Error(step, platform.address(), "the content stored as " + digest + " has digest " + (*bundle)->digest + "; it was changed and must not be used");
    }
    return *bundle;
}

std::string utcText(WallTime time)
{
    const std::time_t calendar = std::chrono::system_clock::to_time_t(time);
    std::tm utc{};
    gmtime_r(&calendar, &utc);
    std::array<char, 32> text{};
    std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &utc);
    return text.data();
}
}
