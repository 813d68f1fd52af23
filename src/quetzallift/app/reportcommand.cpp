#include "quetzallift/app/blockingcall.h"
#include "quetzallift/app/burnhtml.h"
#include "quetzallift/app/burntext.h"
#include "quetzallift/app/commands.h"
#include "quetzallift/app/options.h"
#include "quetzallift/edge/bundlecodec.h"
#include "quetzallift/edge/burncodec.h"
#include "quetzallift/edge/jsonfields.h"
#include "quetzallift/model/error.h"

#include <nlohmann/json.hpp>

#include <cstdlib>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>

namespace Quetzallift
{
namespace
{
constexpr long StatusOk = 200;

nlohmann::json readPlatform(const std::string &platform, const std::string &path)
{
    const CallResponse response = call({platform, path});
    if (response.status != StatusOk) {
        throw Error(Step::Watch, platform, path + ": HTTP status " + std::to_string(response.status));
    }
    return parseJson(response.body, Step::Watch, platform);
}

// The bundle in force, whose objectives the report measures against.
BundlePtr readBundleInForce(const std::string &platform)
{
    const std::string digest = readPlatform(platform, "/v1/objects/rollout").at("digest");
    return decodeBundle(readPlatform(platform, "/v1/objects/bundle/" + digest), "bundle/" + digest);
}

std::vector<BurnRecord> readRecords(const std::string &platform)
{
    std::vector<BurnRecord> records;
    for (const nlohmann::json &object : readPlatform(platform, "/v1/objects?prefix=burn/").at("objects")) {
        records.push_back(decodeBurn(object.at("value"), object.at("name")));
    }
    return records;
}

using Renderer = std::function<std::string(const BurnReport &)>;

const std::map<std::string, Renderer> &renderers()
{
    static const std::map<std::string, Renderer> all = {{"text", &burnText}, {"json", &burnJson}, {"html", &burnHtml}};
    return all;
}

std::string take(char *text, const std::string &fallback)
{
    std::string taken = text != nullptr ? text : fallback;
    std::free(text);
    return taken;
}

void write(const std::string &file, const std::string &text)
{
    if (file.empty()) {
        std::cout << text;
        return;
    }
    std::ofstream stream(file, std::ios::binary);
    stream << text;
    if (!stream.flush()) {
        throw Error(Step::Settings, file, "the file cannot be written");
    }
}
}

int reportCommand(int argc, const char **argv)
{
    char *platformOption = nullptr;
    char *formatOption = nullptr;
    char *outputOption = nullptr;
    const poptOption table[] = {
        {"platform", 'p', POPT_ARG_STRING, &platformOption, 0, "Address of the platform", "IP:PORT"},
        {"format", 'f', POPT_ARG_STRING, &formatOption, 0, "text, json or html; text by default", "FORMAT"},
        {"output", 'o', POPT_ARG_STRING, &outputOption, 0, "File to write; standard output by default", "FILE"},
        POPT_AUTOHELP POPT_TABLEEND,
    };
    const Options options(argc, argv, table, "burn --platform IP:PORT [--format text|json|html] [--output FILE]");
    const std::string platform = take(platformOption, "");
    const std::string format = take(formatOption, "text");
    const std::string output = take(outputOption, "");
    if (options.arguments() != std::vector<std::string>{"burn"} || platform.empty()) {
        throw Error(Step::Settings, "report", "expected: report burn --platform IP:PORT");
    }
    const auto renderer = renderers().find(format);
    if (renderer == renderers().end()) {
        throw Error(Step::Settings, "report", "--format is " + format + "; allowed: text, json, html");
    }
    const BurnReport report = makeBurnReport(readRecords(platform), *readBundleInForce(platform), std::chrono::system_clock::now());
    write(output, renderer->second(report));
    return ExitOk;
}
}
