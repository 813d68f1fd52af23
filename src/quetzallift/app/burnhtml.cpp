#include "quetzallift/app/burnhtml.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace Quetzallift
{
namespace
{
constexpr int ChartWidth = 720;
constexpr int ChartHeight = 90;

constexpr const char *Head = R"(<!doctype html><html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title><style>
body{font:15px/1.45 system-ui,sans-serif;margin:2rem auto;max-width:60rem;padding:0 1rem;color:#1d2430}
h1{font-size:1.5rem;margin-bottom:.2rem}h2{font-size:1.1rem;margin:1.6rem 0 .3rem}
table{border-collapse:collapse;width:100%}th,td{padding:.25rem .6rem;text-align:right;border-bottom:1px solid #e3e6eb}
th:first-child,td:first-child{text-align:left}th{font-weight:600;color:#5a6473}
.ok{color:#1c7c4a}.ticket{color:#a86500;font-weight:600}.page{color:#b3261e;font-weight:600}
.note{color:#5a6473}svg{width:100%;height:auto;background:#f7f8fa;margin:.4rem 0}
.key i{display:inline-block;width:.8rem;height:.2rem;vertical-align:middle;margin:0 .3rem 0 1rem}
</style></head><body>)";

std::string escape(const std::string &text)
{
    std::string escaped;
    for (const char c : text) {
        switch (c) {
        case '<':
            escaped += "&lt;";
            break;
        case '>':
            escaped += "&gt;";
            break;
        case '&':
            escaped += "&amp;";
            break;
        case '"':
            escaped += "&quot;";
            break;
        default:
            escaped += c;
        }
    }
    return escaped;
}

std::string number(double value, int digits)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(digits) << value;
    return text.str();
}

void writeLine(std::ostream &out, const std::vector<double> &values, double top, const char *colour)
{
    out << "<polyline fill=\"none\" stroke=\"" << colour << "\" stroke-width=\"1.6\" points=\"";
    for (std::size_t index = 0; index < values.size(); ++index) {
        const double x = static_cast<double>(index) * ChartWidth / static_cast<double>(std::max<std::size_t>(values.size() - 1, 1));
        const double y = ChartHeight - 4 - values[index] / top * (ChartHeight - 12);
        out << number(x, 1) << ',' << number(y, 1) << ' ';
    }
    out << "\"/>";
}

double highest(const BurnHistory &history)
{
    // Keeps a chart without bad answers flat instead of dividing by zero.
    double top = 0.01;
    for (const std::vector<double> *values : {&history.slow, &history.uncovered, &history.refused}) {
        for (const double value : *values) {
            top = std::max(top, value);
        }
    }
    return top;
}

void writeChart(std::ostream &out, const BurnHistory &history)
{
    const double top = highest(history);
    out << "<svg viewBox=\"0 0 " << ChartWidth << ' ' << ChartHeight << "\" role=\"img\" aria-label=\"Share of bad answers over 6 hours\">";
    writeLine(out, history.slow, top, "#2b6cb0");
    writeLine(out, history.uncovered, top, "#b3261e");
    writeLine(out, history.refused, top, "#8a6d00");
    out << "</svg><div class=\"note key\">last 6 hours, top of the chart " << number(top * 100, 1)
        << "% of answers <i style=\"background:#2b6cb0\"></i>slow <i style=\"background:#b3261e\"></i>not covered "
        << "<i style=\"background:#8a6d00\"></i>refused</div>";
}

void writeIndicator(std::ostream &out, const IndicatorReport &report)
{
    out << "<tr><td>" << toString(report.indicator) << "</td><td class=\"" << toString(report.alert) << "\">" << toString(report.alert) << "</td>";
    for (const BurnSpan &burn : report.spans) {
        out << "<td title=\"" << burn.bad << " of " << burn.answers << "\">" << number(burn.rate, 2) << "</td>";
    }
    out << "<td>" << number(report.budgetLeft * 100, 1) << "%</td><td>";
    if (!report.exhaustedIn) {
        out << "not in sight";
    } else if (report.exhaustedIn->count() == 0) {
        out << "used up";
    } else {
        out << number(static_cast<double>(report.exhaustedIn->count()) / 60.0, 1) << " h";
    }
    out << "</td></tr>";
}

void writeService(std::ostream &out, const ServiceReport &service)
{
    out << "<h2>" << escape(service.key.backEnd) << " for " << escape(service.key.caller) << "</h2><div class=\"note\">" << service.counts.answers
        << " answers in 3 days</div><table><tr><th>objective</th><th>state</th><th>5 min</th><th>30 min</th><th>1 h</th><th>6 h</th>"
        << "<th>3 days</th><th>budget left</th><th>runs out</th></tr>";
    for (const IndicatorReport &indicator : service.indicators) {
        writeIndicator(out, indicator);
    }
    out << "</table>";
    writeChart(out, service.history);
}

void writeCauses(std::ostream &out, const char *kind, const std::vector<BurnCause> &causes)
{
    for (const BurnCause &cause : causes) {
        out << "<tr><td>" << kind << "</td><td>" << escape(cause.name) << "</td><td>" << cause.missing << "</td></tr>";
    }
}

void writeBackEnd(std::ostream &out, const BackEndReport &backEnd)
{
    out << "<h2>" << escape(backEnd.backEnd) << ": load and missing shards</h2><div class=\"note\">" << backEnd.subRequests << " sub-requests, "
        << number(backEnd.extraLoad * 100, 2) << "% extra</div>";
    if (backEnd.shards.empty()) {
        return;
    }
    out << "<table><tr><th>where</th><th>name</th><th>missing</th></tr>";
    writeCauses(out, "data centre", backEnd.dataCentres);
    writeCauses(out, "searcher", backEnd.searchers);
    writeCauses(out, "shard", backEnd.shards);
    out << "</table>";
}
}

std::string burnHtml(const BurnReport &report)
{
    std::ostringstream out;
    out << Head << "<h1>Service-level burn</h1><div class=\"note\">" << report.hosts
        << " hosts. A rate of 1 uses up the budget in 3 days. Not counted: answers since the last write of each host, up to 1 min";
    for (const SilentHost &host : report.silentHosts) {
        out << "; " << escape(host.host) << " has not written for " << host.silentFor.count() << " s";
    }
    out << ".</div>";
    for (const ServiceReport &service : report.services) {
        writeService(out, service);
    }
    for (const BackEndReport &backEnd : report.backEnds) {
        writeBackEnd(out, backEnd);
    }
    out << "</body></html>\n";
    return out.str();
}
}
