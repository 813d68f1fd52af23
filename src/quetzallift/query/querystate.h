#pragma once

#include "quetzallift/model/controlsnapshot.h"
#include "quetzallift/query/admissionstate.h"
#include "quetzallift/query/backendview.h"
#include "quetzallift/query/endedattempts.h"
#include "quetzallift/query/replicarecord.h"
#include "quetzallift/query/runningquery.h"
#include "quetzallift/query/searcherview.h"
#include "quetzallift/query/servicecounting.h"

#include <map>
#include <set>
#include <string>
#include <unordered_map>

namespace Quetzallift
{
// A sub-request that is outstanding: queued for a connection or in flight.
struct Attempt {
    QueryId query;
    std::size_t shardIndex = 0;
    std::string searcher;
    TimePoint sentAt;
    // When the attempt was created, before any wait for a connection.
    TimePoint plannedAt;
    AttemptId id = {};
    // True while the attempt waits for a connection.
    bool queued = false;
    // True if the connection is closed after the reply.
    bool closesConnection = false;
};

// A requested claim. It outlives its query, so that a claim granted too late is recorded as not run.
struct RequestedClaim {
    std::string object;
    Generation generation;
};

// Index of a traffic thread among the traffic threads of this host.
struct ThreadIndex {
    unsigned number = 0;
    unsigned count = 1;
};

// The state of one traffic thread.
struct QueryState {
    ControlSnapshotPtr control;
    std::unordered_map<QueryId, RunningQuery> queries;
    std::unordered_map<AttemptId, Attempt> attempts;
    // This thread's observations of each searcher, by address.
    std::unordered_map<std::string, SearcherView> searchers;
    // Snapshots and latency of each searcher from matched replies, by address; the version changes with the snapshots.
    std::unordered_map<std::string, ReplicaRecord> replicaRecords;
    std::uint64_t recordsVersion = 0;
    // This thread's observations of each back end, by name.
    std::unordered_map<std::string, BackEndView> backEnds;
    std::unordered_map<QueryId, RequestedClaim> requestedClaims;
    EndedAttempts endedAttempts;
    // Addresses of searchers by the number that identifies them in timers.
    std::unordered_map<std::uint64_t, std::string> searcherNumbers;
    std::uint64_t lastSearcher = 0;
    // Mean latency of the searchers of each data centre.
    std::map<std::string, AgedMean<Seconds>> dataCentres;
    // Ejected searchers, by back end.
    std::map<std::string, std::set<std::string>> ejected;
    // Running queries, concurrency limits and callers' use, by back end.
    std::map<std::string, BackEndLoad> loads;
    // Index of this thread, and the host's data centre.
    ThreadIndex threadIndex;
    std::string dataCentre;
    std::uint64_t lastAttempt = 0;
    ServiceState service;
    std::uint64_t lastProbe = 0;
    bool stopping = false;
    bool stopReported = false;
    // The latest epoch of connection shares that was reported as applied.
    std::uint64_t sharesReported = 0;
};
}
