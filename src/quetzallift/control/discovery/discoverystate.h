#pragma once

#include "quetzallift/model/platform.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace Quetzallift
{
// What the control thread knows of routes and searchers, and how it keeps up with the metadata store.
struct DiscoveryState {
    // True if the platform holds the configuration of routes; false if it holds bundles.
    bool enabled = false;

    RouteTablePtr routes;
    // The store's version at which the configuration is known; 0 while it must be read.
    std::uint64_t configurationVersion = 0;
    // When the configuration was last known to be up to date; empty until it was read.
    std::optional<TimePoint> configurationReadAt;

    std::map<std::string, SearcherEntry> searchers;
    // What traffic threads were told last.
    SearcherTablePtr published;
    // Entries that vanished around an outage of the store, and when they are taken as gone.
    std::map<std::string, TimePoint> expiring;
    // The store's version that the searchers are known at; 0 while they must be listed.
    std::uint64_t searchersVersion = 0;
    // The list that is being read, page by page, and the version at its first page.
    std::map<std::string, SearcherEntry> listing;
    std::string listedTo;
    std::uint64_t listVersion = 0;
    // When the searchers were last known to be up to date; empty until the first list.
    std::optional<TimePoint> searchersReadAt;
    // When the store last vouched for both tables to a host that passes them on; empty if none has.
    std::optional<TimePoint> relayedAt;
    // When another host was last asked for its tables.
    TimePoint tablesAskedAt;
    // Until when entries that vanish may still come back after an outage.
    TimePoint outageGraceUntil;
    unsigned searcherFailures = 0;

    // The store's version of this host's entry in the host list; 0 until it was written.
    std::uint64_t hostEntryVersion = 0;
    bool hostEntryExists = false;
};
}
