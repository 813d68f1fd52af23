#include "quetzallift/report/burnreport.h"

#include <algorithm>
#include <array>
#include <functional>

namespace Quetzallift
{
namespace
{
using std::chrono::hours;
using std::chrono::minutes;

constexpr std::array<minutes, 5> Spans = {minutes(5), minutes(30), hours(1), hours(6), hours(72)};
constexpr minutes BudgetPeriod = hours(72);
constexpr std::chrono::seconds SilentHostThreshold{120};
constexpr std::size_t MaximumCauses = 8;

// The long span shows that a burn is significant, the short span that it is still going on.
struct AlertRule {
    minutes longSpan;
    minutes shortSpan;
    double rate;
    BurnAlert alert;
};

constexpr std::array<AlertRule, 3> AlertRules = {{
    {hours(1), minutes(5), 14.4, BurnAlert::Page},
    {hours(6), minutes(30), 6.0, BurnAlert::Page},
    {hours(72), hours(6), 1.0, BurnAlert::Ticket},
}};

using Windows = std::map<WindowIndex, ServiceTable>;

// The sums of the counts of all hosts.
struct FleetWindows {
    Windows shortWindows;
    Windows longWindows;
};

FleetWindows sumHosts(const std::vector<BurnRecord> &records)
{
    FleetWindows fleet;
    for (const BurnRecord &record : records) {
        for (const auto &[window, table] : record.shortWindows) {
            addTo(fleet.shortWindows[window], table);
        }
        for (const auto &[window, table] : record.longWindows) {
            addTo(fleet.longWindows[window], table);
        }
    }
    return fleet;
}

// The counts of the last `count` closed windows and of the open window, which alone would be too short just after its
// start.
ServiceTable lastWindows(const Windows &windows, WindowIndex newest, WindowIndex count)
{
    ServiceTable table;
    for (auto window = windows.lower_bound(newest - count); window != windows.end() && window->first <= newest; ++window) {
        addTo(table, window->second);
    }
    return table;
}

ServiceTable countsOver(const FleetWindows &fleet, minutes span, WallTime now)
{
    if (span < ShortWindow * ShortWindowsKept) {
        return lastWindows(fleet.shortWindows, shortWindowAt(now), span / ShortWindow);
    }
    return lastWindows(fleet.longWindows, longWindowAt(now), span / LongWindow);
}

double allowedRatio(Indicator indicator, const Objective &objective)
{
    switch (indicator) {
    case Indicator::Latency:
        return 1.0 - objective.latencyRatio;
    case Indicator::Coverage:
        return 1.0 - objective.coverageRatio;
    case Indicator::Refusals:
        return objective.refusalRatio;
    }
    return 0.0;
}

BurnSpan computeBurn(minutes span, const ServiceCounts &counts, Indicator indicator, double allowed)
{
    // Keeps the rate finite for an objective that allows no bad answers.
    constexpr double MinimumAllowedRatio = 1e-6;
    BurnSpan burn{span, counts.answers, badAnswers(indicator, counts), 0.0};
    if (burn.answers > 0) {
        const double ratio = static_cast<double>(burn.bad) / static_cast<double>(burn.answers);
        burn.rate = ratio / std::max(allowed, MinimumAllowedRatio);
    }
    return burn;
}

double rateOf(const IndicatorReport &report, minutes span)
{
    const auto found = std::find_if(report.spans.begin(), report.spans.end(), [&](const BurnSpan &burn) {
        return burn.span == span;
    });
    return found == report.spans.end() ? 0.0 : found->rate;
}

BurnAlert alertOf(const IndicatorReport &report)
{
    for (const AlertRule &rule : AlertRules) {
        if (rateOf(report, rule.longSpan) > rule.rate && rateOf(report, rule.shortSpan) > rule.rate) {
            return rule.alert;
        }
    }
    return BurnAlert::None;
}

std::optional<minutes> timeToExhaustion(const IndicatorReport &report)
{
    const double rate = rateOf(report, hours(1));
    if (report.budgetLeft <= 0.0) {
        return minutes(0);
    }
    if (rate <= 0.0) {
        return {};
    }
    const double left = report.budgetLeft * static_cast<double>(BudgetPeriod.count()) / rate;
    return minutes(static_cast<minutes::rep>(std::min(left, 1e9)));
}

IndicatorReport makeIndicatorReport(Indicator indicator, const ServiceKey &key, const Objective &objective, const std::map<minutes, ServiceTable> &spans)
{
    IndicatorReport report;
    report.indicator = indicator;
    report.allowed = allowedRatio(indicator, objective);
    for (const minutes span : Spans) {
        const ServiceTable &table = spans.at(span);
        const auto found = table.find(key);
        report.spans.push_back(computeBurn(span, found == table.end() ? ServiceCounts{} : found->second, indicator, report.allowed));
    }
    report.budgetLeft = 1.0 - rateOf(report, BudgetPeriod);
    report.alert = alertOf(report);
    report.exhaustedIn = timeToExhaustion(report);
    return report;
}

double ratioOf(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 0.0 : static_cast<double>(part) / static_cast<double>(whole);
}

BurnHistory historyOf(const Windows &windows, const ServiceKey &key, WindowIndex newest)
{
    BurnHistory history;
    for (WindowIndex window = newest - static_cast<WindowIndex>(ShortWindowsKept) + 1; window <= newest; ++window) {
        const auto table = windows.find(window);
        ServiceCounts counts;
        if (table != windows.end() && table->second.contains(key)) {
            counts = table->second.at(key);
        }
        history.slow.push_back(ratioOf(counts.slow, counts.answers));
        history.uncovered.push_back(ratioOf(counts.uncovered, counts.answers));
        history.refused.push_back(ratioOf(counts.refused, counts.answers));
    }
    return history;
}

Objective objectiveOf(const Bundle &bundle, const ServiceKey &key)
{
    Objective best;
    best.backEnd = key.backEnd;
    for (const Objective &objective : bundle.objectives) {
        if (objective.backEnd == key.backEnd && (objective.caller == key.caller || (objective.caller.empty() && best.caller.empty()))) {
            best = objective;
        }
    }
    return best;
}

template<typename Key>
std::vector<BurnCause> topCauses(const std::map<Key, std::uint64_t> &causes, const std::function<std::string(const Key &)> &name)
{
    std::vector<BurnCause> list;
    list.reserve(causes.size());
    for (const auto &[cause, count] : causes) {
        list.push_back({name(cause), count});
    }
    std::sort(list.begin(), list.end(), [](const BurnCause &a, const BurnCause &b) {
        return a.missing != b.missing ? a.missing > b.missing : a.name < b.name;
    });
    list.resize(std::min(list.size(), MaximumCauses));
    return list;
}

std::map<std::string, std::uint64_t> byDataCentre(const Bundle &bundle, const std::string &backEnd, const std::map<std::string, std::uint64_t> &searchers)
{
    std::map<std::string, std::uint64_t> dataCentres;
    const BackEnd *known = bundle.backEnd(backEnd);
    for (const auto &[address, count] : searchers) {
        const bool listed = known != nullptr && known->searchers.contains(address);
        dataCentres[listed ? known->searchers.at(address).dataCentre : "not in the bundle"] += count;
    }
    return dataCentres;
}

BackEndReport makeBackEndReport(const Bundle &bundle, const std::string &backEnd, const ServiceCounts &counts)
{
    const std::function<std::string(const std::string &)> identity = [](const std::string &name) {
        return name;
    };
    const std::function<std::string(const std::uint64_t &)> shardName = [](const std::uint64_t &shard) {
        return "shard " + std::to_string(shard);
    };
    BackEndReport report;
    report.backEnd = backEnd;
    report.subRequests = counts.subRequests;
    report.extraLoad = ratioOf(counts.extraSubRequests, counts.subRequests);
    report.searchers = topCauses(counts.missingBySearcher, identity);
    report.dataCentres = topCauses(byDataCentre(bundle, backEnd, counts.missingBySearcher), identity);
    report.shards = topCauses(counts.missingByShard, shardName);
    return report;
}

BurnAlert worstAlert(const ServiceReport &service)
{
    BurnAlert worst = BurnAlert::None;
    for (const IndicatorReport &indicator : service.indicators) {
        worst = std::max(worst, indicator.alert);
    }
    return worst;
}

void addServices(BurnReport &report, const FleetWindows &fleet, const Bundle &bundle)
{
    std::map<minutes, ServiceTable> spans;
    for (const minutes span : Spans) {
        spans[span] = countsOver(fleet, span, report.at);
    }
    std::map<std::string, ServiceCounts> backEnds;
    for (const auto &[key, counts] : spans.at(BudgetPeriod)) {
        backEnds[key.backEnd].add(counts);
        if (key.backEnd.empty()) {
            report.unknownService += counts.answers;
        }
        if (key.backEnd.empty() || key.caller.empty()) {
            continue;
        }
        ServiceReport service{key, objectiveOf(bundle, key), counts, {}, {}};
        for (const Indicator indicator : {Indicator::Latency, Indicator::Coverage, Indicator::Refusals}) {
            service.indicators.push_back(makeIndicatorReport(indicator, key, service.objective, spans));
        }
        service.history = historyOf(fleet.shortWindows, key, shortWindowAt(report.at));
        report.services.push_back(std::move(service));
    }
    backEnds.erase(std::string());
    for (const auto &[name, counts] : backEnds) {
        report.backEnds.push_back(makeBackEndReport(bundle, name, counts));
    }
    std::stable_sort(report.services.begin(), report.services.end(), [](const ServiceReport &a, const ServiceReport &b) {
        return worstAlert(a) > worstAlert(b);
    });
}
}

BurnReport makeBurnReport(const std::vector<BurnRecord> &records, const Bundle &bundle, WallTime now)
{
    BurnReport report;
    report.at = now;
    report.hosts = records.size();
    for (const BurnRecord &record : records) {
        const auto silentFor = std::chrono::floor<std::chrono::seconds>(now - record.writtenAt);
        if (silentFor > SilentHostThreshold) {
            report.silentHosts.push_back({record.host, silentFor});
        }
    }
    addServices(report, sumHosts(records), bundle);
    return report;
}
}
