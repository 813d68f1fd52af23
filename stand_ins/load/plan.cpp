#include "stand_ins/load/plan.h"

#include <nlohmann/json.hpp>

namespace Load
{
using namespace Quetzallift;
using nlohmann::json;

namespace
{
Duration seconds(double count)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(count));
}

std::vector<Phase> readPhases(const json &list)
{
    std::vector<Phase> phases;
    for (const json &item : list) {
        phases.push_back({seconds(item.at("seconds")), item.value("factor", 1.0)});
    }
    return phases;
}

CallerPlan readCaller(const json &item)
{
    CallerPlan caller;
    caller.name = item.at("name");
    caller.backEnd = item.at("back_end");
    caller.dataCentre = item.value("data_centre", "");
    caller.localAddress = item.value("local_address", "");
    caller.rate = item.value("rate", caller.rate);
    caller.deadline = seconds(item.value("deadline_ms", 500.0) / 1000.0);
    caller.minimumCoverage = item.value("minimum_coverage", caller.minimumCoverage);
    caller.onceShare = item.value("once_share", caller.onceShare);
    caller.resendOnce = item.value("resend_once", caller.resendOnce);
    caller.phases = readPhases(item.value("phases", json::array()));
    return caller;
}
}

Plan readPlan(const json &document)
{
    Plan plan;
    plan.hosts = document.at("hosts").get<std::vector<std::string>>();
    plan.bundleFile = document.at("bundle");
    plan.summaryFile = document.value("summary", "");
    plan.seed = document.value("seed", plan.seed);
    plan.warmUp = seconds(document.value("warm_up_s", 1.0));
    plan.phases = readPhases(document.at("phases"));
    for (const json &item : document.at("callers")) {
        plan.callers.push_back(readCaller(item));
        if (plan.callers.back().phases.empty()) {
            plan.callers.back().phases = plan.phases;
        }
    }
    return plan;
}
}
