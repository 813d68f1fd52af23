#include "quetzallift/app/blockingcall.h"
#include "quetzallift/app/commands.h"
#include "quetzallift/app/options.h"
#include "quetzallift/edge/jsonfields.h"
#include "quetzallift/model/error.h"

#include <nlohmann/json.hpp>

#include <cstdlib>
#include <iostream>
#include <random>
#include <sstream>

namespace Quetzallift
{
namespace
{
// Time on top of a query's deadline for the way there and back.
constexpr std::chrono::milliseconds Margin{2000};

// The entry hosts to use, nearest first, as the host that was asked tells.
std::vector<std::string> askAddresses(const std::string &host, const std::string &dataCentre)
{
    constexpr long StatusOk = 200;
    const CallResponse answer = call({host, "/v1/addresses?data_centre=" + dataCentre});
    const nlohmann::json document = parseJson(answer.body, Step::Plan, host);
    if (answer.status != StatusOk) {
        throw Error(Step::Plan, host, document.value("error", answer.body));
    }
    std::vector<std::string> hosts;
    for (const nlohmann::json &entry : document.at("hosts")) {
        hosts.push_back(entry.at("address").get<std::string>());
    }
    return hosts;
}

std::vector<std::string> splitHosts(const std::string &list)
{
    std::vector<std::string> hosts;
    std::istringstream stream(list);
    for (std::string host; std::getline(stream, host, ',');) {
        hosts.push_back(host);
    }
    return hosts;
}

// Asks the given hosts in turn until one answers.
std::vector<std::string> findEntryHosts(const std::vector<std::string> &known, const std::string &dataCentre)
{
    std::string lastError = "no host given";
    for (const std::string &host : known) {
        try {
            return askAddresses(host, dataCentre);
        } catch (const Error &error) {
            lastError = error.what();
        }
    }
    throw Error(Step::Connect, "entry hosts", "none answers: " + lastError);
}

std::string newRequestId()
{
    std::random_device device;
    std::ostringstream text;
    text << std::hex << device() << device();
    return text.str();
}

// Prints the answer for a person, and whether it is whole.
bool printAnswer(const std::string &host, const nlohmann::json &answer)
{
    const nlohmann::json none = nlohmann::json::object();
    const nlohmann::json &coverage = answer.contains("coverage") ? answer["coverage"] : none;
    std::cout << "host:      " << host << '\n' << "status:    " << answer.value("status", "error") << " (" << answer.value("execution", "not_run") << ")\n";
    if (answer.contains("error")) {
        std::cout << "error:     " << answer.value("step", "") << ": " << answer.value("error", "") << '\n';
    }
    std::cout << "snapshot:  " << answer.value("snapshot", 0) << "  generation: " << answer.value("generation", 0) << '\n'
              << "coverage:  " << coverage.value("shards_covered", 0) << " of " << coverage.value("shards_total", 0) << " shards, "
              << coverage.value("weight_covered", 0) << " of " << coverage.value("weight_total", 0) << " by weight\n";
    for (const nlohmann::json &missing : answer.value("missing", nlohmann::json::array())) {
        std::cout << "missing:   shard " << missing.value("shard", 0) << ": " << missing.value("reason", "") << " at " << missing.value("step", "") << " "
                  << missing.value("peer", "") << '\n';
    }
    for (const nlohmann::json &row : answer.value("rows", nlohmann::json::array())) {
        std::cout << row.value("key", "") << "  " << row.value("text", "") << '\n';
    }
    return answer.value("status", "") == "whole";
}

struct QueryArguments {
    char *hosts = nullptr;
    char *caller = nullptr;
    char *backEnd = nullptr;
    char *key = nullptr;
    char *text = nullptr;
    char *request = nullptr;
    char *dataCentre = nullptr;
    double deadlineMs = 500;
    double minimumCoverage = 1.0;
    int once = 0;
    int json = 0;
};

std::string textOr(const char *text, const std::string &fallback)
{
    return text != nullptr ? text : fallback;
}

nlohmann::json makeBody(const QueryArguments &arguments)
{
    nlohmann::json body = {
        {"request", textOr(arguments.request, newRequestId())},
        {"caller", textOr(arguments.caller, "")},
        {"back_end", textOr(arguments.backEnd, "")},
        {"deadline_ms", arguments.deadlineMs},
        {"minimum_coverage", arguments.minimumCoverage},
        {"repeatable", arguments.once == 0},
    };
    if (arguments.key != nullptr) {
        body["key"] = arguments.key;
    }
    if (arguments.text != nullptr) {
        body["text"] = arguments.text;
    }
    return body;
}
}

int queryCommand(int argc, const char **argv)
{
    QueryArguments arguments;
    const poptOption table[] = {
        {"hosts", 'H', POPT_ARG_STRING, &arguments.hosts, 0, "Entry hosts to ask for addresses", "IP:PORT,..."},
        {"caller", 'c', POPT_ARG_STRING, &arguments.caller, 0, "Name of the caller", "NAME"},
        {"back-end", 'b', POPT_ARG_STRING, &arguments.backEnd, 0, "Back end to search", "NAME"},
        {"key", 'k', POPT_ARG_STRING, &arguments.key, 0, "Rows with exactly this key", "KEY"},
        {"text", 't', POPT_ARG_STRING, &arguments.text, 0, "Rows that contain this text", "TEXT"},
        {"request", 'r', POPT_ARG_STRING, &arguments.request, 0, "Request id; random by default", "ID"},
        {"data-centre", 'd', POPT_ARG_STRING, &arguments.dataCentre, 0, "Data centre of the caller", "NAME"},
        {"deadline", 0, POPT_ARG_DOUBLE, &arguments.deadlineMs, 0, "Deadline in milliseconds; 500 by default", "MS"},
        {"minimum-coverage", 0, POPT_ARG_DOUBLE, &arguments.minimumCoverage, 0, "Smallest useful coverage, 0 to 1; 1 by default", "RATIO"},
        {"once", 0, POPT_ARG_NONE, &arguments.once, 0, "Run at most once: never repeat the request", nullptr},
        {"json", 'j', POPT_ARG_NONE, &arguments.json, 0, "Print the answer as JSON", nullptr},
        POPT_AUTOHELP POPT_TABLEEND,
    };
    const Options options(argc, argv, table, "--hosts IP:PORT,... --caller NAME --back-end NAME --key KEY|--text TEXT");
    const std::vector<std::string> hosts = findEntryHosts(splitHosts(textOr(arguments.hosts, "")), textOr(arguments.dataCentre, ""));
    const auto timeout = std::chrono::milliseconds(static_cast<long>(arguments.deadlineMs)) + Margin;
    const CallResponse answer = call({hosts.at(0), "/v1/query", "POST", makeBody(arguments).dump(), {"Content-Type: application/json"}, timeout});
    for (char *text : {arguments.hosts, arguments.caller, arguments.backEnd, arguments.key, arguments.text, arguments.request, arguments.dataCentre}) {
        std::free(text);
    }
    const nlohmann::json document = parseJson(answer.body, Step::Answer, hosts.at(0));
    if (arguments.json != 0) {
        std::cout << document.dump(2) << '\n';
        return document.value("status", "") == "whole" ? ExitOk : ExitFailed;
    }
    return printAnswer(hosts.at(0), document) ? ExitOk : ExitFailed;
}
}
