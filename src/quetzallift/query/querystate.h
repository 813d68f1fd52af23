#pragma once

#include "quetzallift/model/controlsnapshot.h"
#include "quetzallift/query/runningquery.h"
#include "quetzallift/query/searcherview.h"
#include "quetzallift/query/servicecounting.h"

#include <string>
#include <unordered_map>

namespace Quetzallift
{
// A sub-request that waits for its reply.
struct Attempt {
    QueryId query;
    std::size_t shardIndex = 0;
    std::string searcher;
    TimePoint sentAt;
};

// The state of one traffic thread.
struct QueryState {
    ControlSnapshotPtr control;
    std::unordered_map<QueryId, RunningQuery> queries;
    std::unordered_map<AttemptId, Attempt> attempts;
    // What this thread has observed of each searcher, by address.
    std::unordered_map<std::string, SearcherView> searchers;
    std::uint64_t lastAttempt = 0;
    ServiceState service;
    bool stopping = false;
    bool stopReported = false;
};
}
