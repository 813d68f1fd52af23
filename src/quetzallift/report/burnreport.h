#pragma once

#include "quetzallift/model/bundle.h"
#include "quetzallift/model/burnrecord.h"
#include "quetzallift/report/indicator.h"

#include <string>
#include <vector>

namespace Quetzallift
{
// A searcher, data centre or shard whose parts were missing in answers, and the number of those parts.
struct BurnCause {
    std::string name;
    std::uint64_t missing = 0;
};

// The ratio of bad answers in each short window, oldest first; charted in the report.
struct BurnHistory {
    std::vector<double> slow;
    std::vector<double> uncovered;
    std::vector<double> refused;
};

// The objectives and counts of one back end for one caller.
struct ServiceReport {
    ServiceKey key;
    Objective objective;
    ServiceCounts counts;
    std::vector<IndicatorReport> indicators;
    BurnHistory history;
};

// The sub-requests of a back end, the ratio of those beyond the first for each shard, and the places where shards were
// missing.
struct BackEndReport {
    std::string backEnd;
    std::uint64_t subRequests = 0;
    double extraLoad = 0.0;
    std::vector<BurnCause> searchers;
    std::vector<BurnCause> dataCentres;
    std::vector<BurnCause> shards;
};

// A host whose last write is older than two write periods; its later counts are not in the report.
struct SilentHost {
    std::string host;
    std::chrono::seconds silentFor{};
};

struct BurnReport {
    WallTime at;
    std::size_t hosts = 0;
    std::vector<SilentHost> silentHosts;
    // Most urgent first.
    std::vector<ServiceReport> services;
    std::vector<BackEndReport> backEnds;
    // Answers to callers or for back ends that the bundle does not list.
    std::uint64_t unknownService = 0;
};

// Computes the burn of every objective from the records of all hosts. The multi-window, multi-burn-rate alerts follow
// chapter 5 of "The Site Reliability Workbook" (O'Reilly, 2018).
BurnReport makeBurnReport(const std::vector<BurnRecord> &records, const Bundle &bundle, WallTime now);
}
