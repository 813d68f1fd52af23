#pragma once

#include "quetzallift/model/controlsnapshot.h"
#include "quetzallift/query/backendview.h"
#include "quetzallift/query/endedattempts.h"
#include "quetzallift/query/replicarecord.h"
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
    // When the attempt was decided, before any wait for a connection.
    TimePoint plannedAt;
};

// A claim that was asked for. It outlives its query, so that a claim granted too late is recorded as not run.
struct RequestedClaim {
    std::string object;
    Generation generation;
};

// The state of one traffic thread.
struct QueryState {
    ControlSnapshotPtr control;
    std::unordered_map<QueryId, RunningQuery> queries;
    std::unordered_map<AttemptId, Attempt> attempts;
    // What this thread has observed of each searcher, by address.
    std::unordered_map<std::string, SearcherView> searchers;
    // What genuine replies have taught about each searcher, by address, and the version of their snapshots.
    std::unordered_map<std::string, ReplicaRecord> replicaRecords;
    std::uint64_t recordsVersion = 0;
    // What was learned about each back end, by name.
    std::unordered_map<std::string, BackEndView> backEnds;
    std::unordered_map<QueryId, RequestedClaim> requestedClaims;
    EndedAttempts endedAttempts;
    std::uint64_t lastAttempt = 0;
    ServiceState service;
    std::uint64_t lastProbe = 0;
    bool stopping = false;
    bool stopReported = false;
};
}
