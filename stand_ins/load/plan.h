#pragma once

#include "quetzallift/model/time.h"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace Load
{
// A stretch of the run in which callers send at a multiple of their rate.
struct Phase {
    Quetzallift::Duration length = std::chrono::seconds(10);
    double factor = 1.0;
};

// One caller that sends queries at a given rate, whether or not earlier ones were answered.
struct CallerPlan {
    std::string name;
    std::string backEnd;
    std::string dataCentre;
    // The IP number from which it connects; empty leaves it to the system.
    std::string localAddress;
    // Queries a second.
    double rate = 10.0;
    Quetzallift::Duration deadline = std::chrono::milliseconds(500);
    double minimumCoverage = 1.0;
    // The share of requests that may run at most once.
    double onceShare = 0.0;
    // Sends such a request again under the same id when its connection closes without an answer.
    bool resendOnce = false;
    // Empty means the phases of the plan.
    std::vector<Phase> phases;
};

// What the load generator does.
struct Plan {
    std::vector<std::string> hosts;
    // The bundle whose layouts answers are checked against.
    std::string bundleFile;
    std::string summaryFile;
    std::uint64_t seed = 1;
    // Answers to queries sent in this first part are checked, but not counted in figures of latency.
    Quetzallift::Duration warmUp = std::chrono::seconds(1);
    std::vector<Phase> phases;
    std::vector<CallerPlan> callers;
};

// Reads a plan. Throws nlohmann's exceptions for a wrong one.
Plan readPlan(const nlohmann::json &document);
}
