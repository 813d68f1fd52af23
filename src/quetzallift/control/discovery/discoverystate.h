#pragma once

#include "quetzallift/control/discovery/requesttimes.h"
#include "quetzallift/model/platform.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace Quetzallift
{
// A host that waits for this host to confirm its tables.
struct AwaitedConfirmation {
    std::uint64_t number = 0;
    TimePoint arrivedAt;
};

// The routes and searchers known to the control thread, and the progress of reading the metadata store.
struct DiscoveryState {
    // True if the platform holds the configuration of routes; false if it holds bundles.
    bool enabled = false;

    RouteTablePtr routes;
    // The store version of the configuration; 0 while the configuration must be read.
    std::uint64_t configurationVersion = 0;
    // When the configuration was last known to be up to date; empty before the first read.
    std::optional<TimePoint> configurationReadAt;

    std::map<std::string, SearcherEntry> searchers;
    // The table last published to the traffic threads.
    SearcherTablePtr published;
    // Searchers whose entries disappeared around an outage of the store, and when each searcher is removed.
    std::map<std::string, TimePoint> expiring;
    // The store version of the searchers; 0 while the searchers must be listed. The table is the same at all versions from
    // `changedVersion` on.
    std::uint64_t searchersVersion = 0;
    std::uint64_t changedVersion = 0;
    // The partial list that is being read page by page, the last name read, and the store version of the first page.
    std::map<std::string, SearcherEntry> listing;
    std::string lastListedName;
    std::uint64_t listVersion = 0;
    // The time for which the first page holds, and the version of the table that the list replaces.
    TimePoint listValidAt;
    std::uint64_t versionBeforeList = 0;
    // When the searchers were last known to be up to date; empty before the first complete list.
    std::optional<TimePoint> searchersReadAt;
    // The latest time for which the store is known to have answered, also if it had more changes than its reply.
    std::optional<TimePoint> storeAnsweredAt;
    // The latest time for which another host has confirmed this host's tables; empty before the first confirmation.
    std::optional<TimePoint> relayedReadAt;
    // The requests for a confirmation, and the host that was asked last.
    RequestTimes confirmationRequests;
    std::string confirmationRequestedFrom;
    // Since when confirmations have named a version that is not known here.
    std::optional<TimePoint> behindSince;
    // The hosts that wait for a confirmation by this host, by peer address.
    std::map<std::string, AwaitedConfirmation> awaitedConfirmations;
    // The operator's version of the configuration that was last sent to the data centre.
    std::uint64_t relayedConfiguration = 0;
    // The source that confirmed the tables last: "store", or the name of a host.
    std::string confirmedBy;
    // The requests for tables, and when the last one was sent.
    RequestTimes tablesRequests;
    TimePoint tablesRequestedAt;
    // The end of the period after an outage in which searchers whose entries disappeared are kept.
    TimePoint outageGraceUntil;
    // Consecutive failed reads of the searchers; only the first is logged.
    unsigned failedSearcherReads = 0;

    // The store version of this host's entry in the host list; 0 until the entry was written.
    std::uint64_t hostEntryVersion = 0;
    bool hostEntryExists = false;
};
}
