#include "tests/platform/soak/answercheck.h"

#include "tests/platform/soak/configurations.h"
#include "tests/platform/soak/requestledger.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <functional>

namespace Soak
{
using namespace Quetzallift;

namespace
{
constexpr unsigned Ok = 200;
constexpr unsigned MultipleChoices = 300;
constexpr unsigned NotFound = 404;
constexpr std::size_t RecordSize = 16;

std::vector<std::string> splitSignatures(std::string_view text)
{
    std::vector<std::string> signatures;
    while (!text.empty()) {
        const std::size_t comma = text.find(',');
        std::string_view part = text.substr(0, comma);
        part.remove_prefix(std::min(part.find_first_not_of(' '), part.size()));
        signatures.emplace_back(part);
        text = comma == std::string_view::npos ? std::string_view() : text.substr(comma + 1);
    }
    return signatures;
}

std::string greatest(const std::vector<const Run *> &parts)
{
    std::vector<std::string> records;
    for (const Run *part : parts) {
        for (std::size_t at = 0; at + RecordSize <= part->body.size(); at += RecordSize) {
            records.push_back(part->body.substr(at, RecordSize));
        }
    }
    std::sort(records.begin(), records.end(), std::greater<>());
    records.resize(std::min<std::size_t>(records.size(), RecordLimit));
    std::string body;
    for (const std::string &record : records) {
        body += record;
    }
    return body;
}

// The set of shards that one configuration names and that all these parts belong to; ShardSets if there is none.
unsigned setOf(const std::set<std::string> &services)
{
    for (unsigned set = 0; set < ShardSets; ++set) {
        const std::string prefix = "set" + std::to_string(set) + "-";
        const bool all = std::all_of(services.begin(), services.end(), [&prefix](const std::string &service) {
            return service.starts_with(prefix);
        });
        if (all) {
            return set;
        }
    }
    return ShardSets;
}

std::string problemOfMerged(const RequestLedger &ledger, const SentRequest &request, const UpstreamResponse &response)
{
    std::vector<const Run *> parts;
    std::set<std::string> services;
    for (const std::string &signature : splitSignatures(response.header("Part-Stamps"))) {
        const Run *run = ledger.run(signature);
        if (run == nullptr || run->request != request.id || !run->success) {
            return "names " + signature + ", which is no good part of it";
        }
        if (!services.insert(run->service).second) {
            return "names two parts of " + run->service;
        }
        parts.push_back(run);
    }
    const unsigned set = parts.empty() ? ShardSets : setOf(services);
    if (set == ShardSets) {
        return "has no parts, or parts of several sets of shards";
    }
    const std::string_view text = response.header("Missing-Parts");
    std::size_t missing = 0;
    std::from_chars(text.data(), text.data() + text.size(), missing);
    if (parts.size() + missing != shardsIn(set)) {
        return "has " + std::to_string(parts.size()) + " parts and says that " + std::to_string(missing) + " are missing";
    }
    if (static_cast<double>(parts.size()) < LeastCoverage * shardsIn(set)) {
        return "covers too little";
    }
    return response.body == greatest(parts) ? std::string() : "does not hold the greatest records of its parts";
}

std::string problemOfSingle(const RequestLedger &ledger, const SentRequest &request, const UpstreamResponse &response)
{
    const Run *run = ledger.run(std::string(response.header("Server-Stamp")));
    if (run == nullptr || run->request != request.id) {
        return "bears no signature of a run of it";
    }
    if (!run->success) {
        return "is a success that the searcher did not give";
    }
    return response.body == run->body ? std::string() : "does not hold the searcher's body";
}

std::string problemOfSuccess(const RequestLedger &ledger, const SentRequest &request, const UpstreamResponse &response)
{
    const std::string_view id = response.header("Request-Id");
    if (!id.empty() && id != request.id) {
        return "belongs to " + std::string(id);
    }
    return request.target.starts_with("/catalogue/") ? problemOfMerged(ledger, request, response) : problemOfSingle(ledger, request, response);
}
}

bool promisesNotRun(unsigned status)
{
    constexpr std::array<unsigned, 4> Statuses = {408, 421, 429, 503};
    return std::find(Statuses.begin(), Statuses.end(), status) != Statuses.end();
}

bool checkAnswer(RequestLedger &ledger, const Configurations &configurations, const SentRequest &request, const UpstreamResponse &response)
{
    if (response.status >= Ok && response.status < MultipleChoices) {
        const std::string problem = problemOfSuccess(ledger, request, response);
        if (!problem.empty()) {
            ledger.violation("MIXED", "the answer to " + request.id + " " + request.target + " " + problem);
        }
        const Run *run = ledger.run(std::string(response.header("Server-Stamp")));
        if (run != nullptr && request.target.starts_with("/lookup/") && !configurations.allowsLookups(run->service)) {
            ledger.violation("ROUTE", request.id + " ran at " + run->service);
        }
        return true;
    }
    if (promisesNotRun(response.status)) {
        ledger.noteRefused(request.id);
    } else if (response.status == NotFound && !request.target.starts_with("/version/")) {
        ledger.violation("DENIED", request.id + " " + request.target + " was answered 404");
    }
    return false;
}
}
