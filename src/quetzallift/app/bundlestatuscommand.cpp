#include "quetzallift/app/bundlearguments.h"
#include "quetzallift/app/bundlecommands.h"
#include "quetzallift/app/commands.h"
#include "quetzallift/app/options.h"
#include "quetzallift/edge/eventloop.h"
#include "quetzallift/edge/httpclient.h"
#include "quetzallift/edge/jsonfields.h"
#include "quetzallift/model/error.h"

#include <nlohmann/json.hpp>

#include <iostream>
#include <map>

namespace Quetzallift
{
namespace
{
// Hosts that are asked at the same time.
constexpr std::size_t MaximumAsked = 64;
constexpr Duration AskTimeout = std::chrono::seconds(2);

// What a host said, or why it did not.
struct HostStatus {
    ListedHost host;
    std::uint64_t generation = 0;
    bool platformReachable = false;
    std::string error = {};
};

HostListRecord readHosts(const OperatorPlatform &platform)
{
    PlatformRequest request;
    request.verb = PlatformVerb::ReadHosts;
    request.timeout = std::chrono::seconds(5);
    const PlatformReply reply = platform.call(request);
    const auto *hosts = std::get_if<HostListRecord>(&reply.value);
    if (hosts == nullptr) {
        throw Error(Step::Join, platform.address(), "the host list cannot be read: " + reply.detail);
    }
    return *hosts;
}

void readStatus(HostStatus &status, const HttpResult &result)
{
    constexpr long StatusOk = 200;
    if (result.outcome != HttpOutcome::Responded || result.status != StatusOk) {
        status.error = result.error.empty() ? "HTTP status " + std::to_string(result.status) : result.error;
        return;
    }
    try {
        const nlohmann::json document = parseJson(result.body, Step::Adopt, status.host.address);
        JsonFields fields(document, Step::Adopt, status.host.address);
        status.generation = fields.integer("generation", 0, UINT64_MAX);
        status.platformReachable = fields.has("platform") && fields.object("platform").flag("reachable", false);
    } catch (const Error &error) {
        status.error = error.what();
    }
}

// Asks all hosts, a bounded number at a time.
class StatusQuery
{
public:
    explicit StatusQuery(const HostListRecord &hosts)
    {
        for (const ListedHost &host : hosts.hosts) {
            m_statuses.push_back({host});
        }
    }

    std::vector<HostStatus> run()
    {
        while (m_next < std::min(m_statuses.size(), MaximumAsked)) {
            askNext();
        }
        if (!m_statuses.empty()) {
            m_loop.run();
        }
        return std::move(m_statuses);
    }

private:
    void askNext()
    {
        HostStatus &status = m_statuses[m_next++];
        HttpRequest request;
        request.url = "http://" + status.host.address + "/v1/status";
        request.timeout = AskTimeout;
        m_client.send(std::move(request), [this, &status](const HttpResult &result) {
            readStatus(status, result);
            if (m_next < m_statuses.size()) {
                askNext();
            }
            if (++m_done == m_statuses.size()) {
                m_loop.stop();
            }
        });
    }

    EventLoop m_loop;
    HttpClient m_client{m_loop};
    std::vector<HostStatus> m_statuses;
    std::size_t m_next = 0;
    std::size_t m_done = 0;
};

bool printStatus(const std::vector<HostStatus> &statuses, std::uint64_t newest)
{
    std::map<std::uint64_t, std::size_t> hostsOf;
    bool current = true;
    for (const HostStatus &status : statuses) {
        if (!status.error.empty()) {
            current = false;
            std::cout << "no answer:  " << status.host.name << " " << status.host.address << ": " << status.error << '\n';
            continue;
        }
        ++hostsOf[status.generation];
        if (status.generation < newest) {
            current = false;
            std::cout << "lagging:    " << status.host.name << " " << status.host.address << " has generation " << status.generation
                      << (status.platformReachable ? "" : "; its platform calls fail") << '\n';
        }
    }
    for (const auto &[generation, count] : hostsOf) {
        std::cout << "generation " << generation << ": " << count << " of " << statuses.size() << " hosts\n";
    }
    return current;
}

OperatorPlatform readPlatformOption(int argc, const char **argv, const std::string &command, std::size_t arguments, std::vector<std::string> &values)
{
    char *address = nullptr;
    const poptOption table[] = {
        {"platform", 'p', POPT_ARG_STRING, &address, 0, "The platform's address", "IP:PORT"},
        POPT_AUTOHELP POPT_TABLEEND,
    };
    const std::string help = arguments == 2 ? "DIGEST DIGEST --platform IP:PORT" : "--platform IP:PORT";
    const Options options(argc, argv, table, help);
    const OptionText owner(address, &std::free);
    if (options.arguments().size() != arguments) {
        throw Error(Step::Settings, command, "expected: " + command + " " + help);
    }
    values = options.arguments();
    return OperatorPlatform(requiredOption(address, command, "--platform IP:PORT"));
}

RolloutRecord readRollout(const OperatorPlatform &platform)
{
    const PlatformValue value = platform.read("rollout", Step::Roll);
    const auto *rollout = std::get_if<RolloutRecord>(&value);
    return rollout == nullptr ? RolloutRecord() : *rollout;
}

template<typename Record>
void printGeneration(const Record &record)
{
    std::cout << record.generation.value << "  " << utcText(record.rolledAt) << "  " << record.digest << "  " << record.operatorName << '\n';
}
}

int bundleStatusCommand(int argc, const char **argv)
{
    std::vector<std::string> values;
    const OperatorPlatform platform = readPlatformOption(argc, argv, "bundle status", 0, values);
    const RolloutRecord rollout = readRollout(platform);
    std::cout << "rolled:     generation " << rollout.generation.value << " " << rollout.digest << " by " << rollout.operatorName << '\n';
    StatusQuery query(readHosts(platform));
    return printStatus(query.run(), rollout.generation.value) ? ExitOk : ExitFailed;
}

int bundleHistoryCommand(int argc, const char **argv)
{
    std::vector<std::string> values;
    const OperatorPlatform platform = readPlatformOption(argc, argv, "bundle history", 0, values);
    const RolloutRecord rollout = readRollout(platform);
    if (rollout.generation.value == 0) {
        std::cout << "nothing was rolled yet\n";
        return ExitOk;
    }
    printGeneration(rollout);
    for (const PastRollout &past : rollout.past) {
        printGeneration(past);
    }
    return ExitOk;
}

int bundleDiffCommand(int argc, const char **argv)
{
    std::vector<std::string> digests;
    const OperatorPlatform platform = readPlatformOption(argc, argv, "bundle diff", 2, digests);
    const nlohmann::json before = nlohmann::json::parse(readStoredBundle(platform, digests[0], Step::Prepare)->content);
    const nlohmann::json after = nlohmann::json::parse(readStoredBundle(platform, digests[1], Step::Prepare)->content);
    for (const nlohmann::json &change : nlohmann::json::diff(before, after)) {
        const auto path = change.at("path").get<std::string>();
        const nlohmann::json::json_pointer pointer(path);
        const std::string operation = change.at("op").get<std::string>();
        std::cout << operation << " " << path;
        if (operation != "add" && before.contains(pointer)) {
            std::cout << "  was " << before.at(pointer).dump();
        }
        if (operation != "remove") {
            std::cout << "  is " << change.at("value").dump();
        }
        std::cout << '\n';
    }
    return before == after ? ExitOk : ExitFailed;
}
}
