#include "tests/platform/soak/requestledger.h"

#include <algorithm>
#include <iostream>

namespace Soak
{
using namespace Quetzallift;

namespace
{
// The pages let a few requests exceed their attempts, since searchers that ended meanwhile are not counted here.
constexpr unsigned AllowedOverAttempts = 3;

std::ptrdiff_t countBetween(const std::vector<TimePoint> &times, TimePoint from, TimePoint to)
{
    return std::lower_bound(times.begin(), times.end(), to) - std::lower_bound(times.begin(), times.end(), from);
}
}

void RequestLedger::noteSent(const SentRequest &request)
{
    m_requests[request.id] = request;
}

void RequestLedger::noteLeft(const std::string &id, TimePoint at)
{
    m_requests.at(id).leftAt = at;
}

void RequestLedger::noteRefused(const std::string &id)
{
    SentRequest &request = m_requests.at(id);
    request.refused = true;
    if (hasRun(id)) {
        violation("REFUSED", id + " " + request.target + " was refused as not run, and has run");
    }
}

std::string RequestLedger::noteRun(const Run &run)
{
    const std::string signature = std::to_string(++m_lastSignature) + "." + run.searcher;
    m_runs[signature] = run;
    const auto found = m_requests.find(run.request);
    if (found == m_requests.end()) {
        violation("UNASKED", run.searcher + " ran " + run.request + ", which no client sent");
        return signature;
    }
    const SentRequest &request = found->second;
    std::set<std::string> &runners = m_runners[run.request][run.service];
    const bool again = !runners.insert(run.searcher).second || runners.size() > 1 || m_runners[run.request].size() > 1;
    if (!request.idempotent && again) {
        violation("TWICE", run.request + " " + request.target + " ran again at " + run.searcher);
    }
    if (request.refused) {
        violation("REFUSED", run.request + " " + request.target + " ran at " + run.searcher + " after it was refused as not run");
    }
    if (runners.size() > request.maxAttempts && ++m_overAttempts > AllowedOverAttempts) {
        violation("BUDGET", run.request + " ran on " + std::to_string(runners.size()) + " searchers of " + run.service);
    }
    return signature;
}

const SentRequest *RequestLedger::request(const std::string &id) const
{
    const auto found = m_requests.find(id);
    return found == m_requests.end() ? nullptr : &found->second;
}

const Run *RequestLedger::run(const std::string &signature) const
{
    const auto found = m_runs.find(signature);
    return found == m_runs.end() ? nullptr : &found->second;
}

bool RequestLedger::hasRun(const std::string &id) const
{
    return m_runners.contains(id);
}

std::size_t RequestLedger::requestCount() const
{
    return m_requests.size();
}

void RequestLedger::violation(const std::string &rule, const std::string &text)
{
    ++m_violations;
    std::cout << "violation " << rule << ": " << text << std::endl;
}

unsigned RequestLedger::violations() const
{
    return m_violations;
}

void RequestLedger::noteDemand(const std::string &service, TimePoint at)
{
    m_traffic[service].demand.push_back(at);
}

void RequestLedger::noteArrival(const std::string &id, const std::string &service, TimePoint at)
{
    Traffic &traffic = m_traffic[service];
    if (!traffic.seen.insert(id).second) {
        traffic.extra.push_back(at);
    }
}

void RequestLedger::judgeBudget(double ratio, double slack, Duration window)
{
    for (const auto &[service, traffic] : m_traffic) {
        for (const TimePoint end : traffic.extra) {
            const TimePoint begin = end - window;
            // The end itself belongs to the window.
            const auto extra = countBetween(traffic.extra, begin, end + Duration(1));
            const auto demand = std::max({countBetween(traffic.demand, begin, end),
                                          countBetween(traffic.demand, begin - window / 2, end - window / 2),
                                          countBetween(traffic.demand, begin - window, end - window)});
            if (static_cast<double>(extra) > ratio * static_cast<double>(demand) + slack) {
                violation("BUDGET", service + " got " + std::to_string(extra) + " extra requests beside " + std::to_string(demand));
                return;
            }
        }
    }
}
}
