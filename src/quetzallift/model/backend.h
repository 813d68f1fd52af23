#pragma once

#include "quetzallift/model/layout.h"
#include "quetzallift/model/time.h"

#include <map>
#include <string>
#include <vector>

namespace Quetzallift
{
// What a back end prefers while shards are missing: an answer at the latency target, or more coverage until the deadline.
enum class DeadlinePreference {
    Latency,
    Coverage,
};

// The execution policy for queries to one back end.
struct BackEndPolicy {
    DeadlinePreference preference = DeadlinePreference::Latency;
    // The time after which a back end that prefers latency answers as soon as the minimum coverage is reached.
    Duration latencyTarget = std::chrono::milliseconds(95);
    // Upper limit of the deadline that a caller may ask for.
    Duration maximumDeadline = std::chrono::seconds(10);
    // Extra sub-requests allowed for hedges, as a share of first sub-requests.
    double hedgeBudget = 0.05;
    // Extra sub-requests allowed for retries, as a share of first sub-requests.
    double retryBudget = 0.1;
};

// A process that holds replicas, and the limits that it enforces.
struct Searcher {
    std::string address;
    std::string dataCentre;
    unsigned slots = 2;
    unsigned connectionLimit = 25;
    // The time that the searcher needs to open a connection.
    Duration connectionCost = std::chrono::milliseconds(5);
    // The set of entry hosts that may connect to the searcher; empty in a fleet of one set.
    std::string cell = {};
};

// A searched data set.
struct BackEnd {
    std::string name;
    BackEndPolicy policy;
    std::map<std::string, Searcher> searchers;
    // Ordered by first snapshot.
    std::vector<Layout> layouts;

    // The layout in force at a snapshot, or null if the snapshot is older than every layout.
    const Layout *layoutAt(SnapshotVersion snapshot) const;
};
}
