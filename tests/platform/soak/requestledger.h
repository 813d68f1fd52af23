#pragma once

#include "quetzallift/model/time.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Soak
{
// A request as a client sent it.
struct SentRequest {
    std::string id;
    std::string target;
    bool idempotent = true;
    unsigned maxAttempts = 1;
    // The entry host that it was sent to.
    std::size_t host = 0;
    Quetzallift::TimePoint sentAt;
    // When the client went away without an answer.
    std::optional<Quetzallift::TimePoint> leftAt = {};
    // True once the client was told that the request has not run.
    bool refused = false;
};

// A request that a searcher ran.
struct Run {
    std::string request;
    std::string service;
    std::string searcher;
    // False if the searcher failed or spoiled its reply.
    bool success = true;
    std::string body;
};

// What clients sent and searchers ran, and the promises that follow from both. A broken promise is printed at once and
// counted under its rule.
class RequestLedger
{
public:
    void noteSent(const SentRequest &request);
    void noteLeft(const std::string &id, Quetzallift::TimePoint at);
    void noteRefused(const std::string &id);

    // Records a run and returns its signature, which is unique.
    std::string noteRun(const Run &run);

    // The request with this id, or null.
    const SentRequest *request(const std::string &id) const;

    // The run that bears the signature, or null.
    const Run *run(const std::string &signature) const;

    bool hasRun(const std::string &id) const;
    std::size_t requestCount() const;

    // Prints and counts a broken promise.
    void violation(const std::string &rule, const std::string &text);
    unsigned violations() const;

    // Judges the retry budget over the whole run: in any window, the extra arrivals at a service against the requests for
    // it and the slack.
    void judgeBudget(double ratio, double slack, Quetzallift::Duration window);

    // Counts a request that clients sent on a route to the service.
    void noteDemand(const std::string &service, Quetzallift::TimePoint at);

    // Counts an arrival at a searcher of the service, whether it was run or not.
    void noteArrival(const std::string &id, const std::string &service, Quetzallift::TimePoint at);

private:
    struct Traffic {
        std::vector<Quetzallift::TimePoint> demand;
        std::vector<Quetzallift::TimePoint> extra;
        std::set<std::string> seen;
    };

    std::map<std::string, SentRequest> m_requests;
    std::map<std::string, Run> m_runs;
    // Searchers that ran each request, by request and service.
    std::map<std::string, std::map<std::string, std::set<std::string>>> m_runners;
    std::map<std::string, Traffic> m_traffic;
    unsigned m_overAttempts = 0;
    unsigned m_violations = 0;
    unsigned m_lastSignature = 0;
};
}
