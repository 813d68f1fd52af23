#include "quetzallift/app/burntext.h"

#include <nlohmann/json.hpp>

#include <iomanip>
#include <sstream>

namespace Quetzallift
{
namespace
{
std::string percent(double ratio)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(2) << ratio * 100.0 << "%";
    return text.str();
}

std::string exhaustionText(const IndicatorReport &report)
{
    if (!report.exhaustedIn) {
        return "not in sight";
    }
    if (report.exhaustedIn->count() == 0) {
        return "used up";
    }
    return "in " + std::to_string(*report.exhaustedIn / std::chrono::hours(1)) + " h " + std::to_string(report.exhaustedIn->count() % 60) + " min";
}

void writeIndicator(std::ostream &out, const IndicatorReport &report)
{
    out << "    " << std::left << std::setw(9) << toString(report.indicator) << std::setw(7) << toString(report.alert) << std::right;
    for (const BurnSpan &burn : report.spans) {
        out << std::setw(8) << std::fixed << std::setprecision(2) << burn.rate;
    }
    out << "   left " << percent(report.budgetLeft) << ", runs out " << exhaustionText(report) << '\n';
}

void writeCauses(std::ostream &out, const char *title, const std::vector<BurnCause> &causes)
{
    if (causes.empty()) {
        return;
    }
    out << "    missing by " << title << ":";
    for (const BurnCause &cause : causes) {
        out << "  " << cause.name << " " << cause.missing;
    }
    out << '\n';
}

nlohmann::json indicatorJson(const IndicatorReport &report)
{
    nlohmann::json document = {
        {"indicator", toString(report.indicator)},
        {"alert", toString(report.alert)},
        {"allowed_ratio", report.allowed},
        {"budget_left", report.budgetLeft},
        {"spans", nlohmann::json::array()},
    };
    if (report.exhaustedIn) {
        document["exhausted_in_minutes"] = report.exhaustedIn->count();
    }
    for (const BurnSpan &burn : report.spans) {
        document["spans"].push_back({{"minutes", burn.span.count()}, {"answers", burn.answers}, {"bad", burn.bad}, {"burn_rate", burn.rate}});
    }
    return document;
}

nlohmann::json causesJson(const std::vector<BurnCause> &causes)
{
    nlohmann::json list = nlohmann::json::array();
    for (const BurnCause &cause : causes) {
        list.push_back({{"name", cause.name}, {"missing", cause.missing}});
    }
    return list;
}

nlohmann::json serviceJson(const ServiceReport &service)
{
    nlohmann::json document = {
        {"back_end", service.key.backEnd},
        {"caller", service.key.caller},
        {"answers", service.counts.answers},
        {"indicators", nlohmann::json::array()},
    };
    for (const IndicatorReport &indicator : service.indicators) {
        document["indicators"].push_back(indicatorJson(indicator));
    }
    return document;
}

nlohmann::json backEndJson(const BackEndReport &backEnd)
{
    return {
        {"back_end", backEnd.backEnd},
        {"sub_requests", backEnd.subRequests},
        {"extra_load", backEnd.extraLoad},
        {"missing_by_searcher", causesJson(backEnd.searchers)},
        {"missing_by_data_centre", causesJson(backEnd.dataCentres)},
        {"missing_by_shard", causesJson(backEnd.shards)},
    };
}
}

std::string burnText(const BurnReport &report)
{
    std::ostringstream out;
    out << "service-level burn of " << report.hosts << " hosts; rates over 5 min, 30 min, 1 h, 6 h, 3 days (1.00 uses up the budget in 3 days)\n";
    for (const ServiceReport &service : report.services) {
        out << "\n" << service.key.backEnd << " for " << service.key.caller << ": " << service.counts.answers << " answers\n";
        for (const IndicatorReport &indicator : service.indicators) {
            writeIndicator(out, indicator);
        }
    }
    for (const BackEndReport &backEnd : report.backEnds) {
        out << "\n" << backEnd.backEnd << ": " << backEnd.subRequests << " sub-requests, " << percent(backEnd.extraLoad) << " extra\n";
        writeCauses(out, "searcher", backEnd.searchers);
        writeCauses(out, "data centre", backEnd.dataCentres);
        writeCauses(out, "shard", backEnd.shards);
    }
    out << "\nnot counted: answers since the last write of each host, up to 1 min";
    for (const SilentHost &host : report.silentHosts) {
        out << "; " << host.host << " has not written for " << host.silentFor.count() << " s";
    }
    if (report.unknownService > 0) {
        out << "; " << report.unknownService << " refusals of callers or back ends that the bundle does not have";
    }
    out << '\n';
    return out.str();
}

std::string burnJson(const BurnReport &report)
{
    nlohmann::json document = {
        {"hosts", report.hosts},
        {"silent_hosts", nlohmann::json::array()},
        {"services", nlohmann::json::array()},
        {"back_ends", nlohmann::json::array()},
        {"unknown_service_answers", report.unknownService},
    };
    for (const SilentHost &host : report.silentHosts) {
        document["silent_hosts"].push_back({{"host", host.host}, {"silent_for_s", host.silentFor.count()}});
    }
    for (const ServiceReport &service : report.services) {
        document["services"].push_back(serviceJson(service));
    }
    for (const BackEndReport &backEnd : report.backEnds) {
        document["back_ends"].push_back(backEndJson(backEnd));
    }
    return document.dump(2) + "\n";
}
}
