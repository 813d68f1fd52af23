#pragma once

#include "quetzallift/model/platform.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace Quetzallift
{
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
    // The store version of the searchers; 0 while the searchers must be listed.
    std::uint64_t searchersVersion = 0;
    // The partial list that is being read page by page, the last name read, and the store version of the first page.
    std::map<std::string, SearcherEntry> listing;
    std::string lastListedName;
    std::uint64_t listVersion = 0;
    // When the searchers were last known to be up to date; empty before the first complete list.
    std::optional<TimePoint> searchersReadAt;
    // When a host that relays the tables last had both confirmed by the store; empty until an update has
    // confirmed this host's tables.
    std::optional<TimePoint> relayedReadAt;
    // When tables were last requested from another host.
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
