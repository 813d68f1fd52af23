#pragma once

#include "quetzallift/model/bundle.h"
#include "quetzallift/model/routetable.h"
#include "quetzallift/model/searchertable.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Quetzallift
{
// An entry host in the address list for callers.
struct HostAddress {
    std::string name;
    std::string address;
    std::string dataCentre;
    // In thousandths of a core; 0 if unknown.
    unsigned capacity = 0;
    // True while the host has little processor time left.
    bool busy = false;

    bool operator==(const HostAddress &) const = default;
};

// The control decisions in force on the traffic threads. Immutable: each change is published as a new snapshot.
struct ControlSnapshot : RefCounted<ControlSnapshot> {
    Generation generation;
    BundlePtr bundle;
    // The configuration of routes and their searchers; null if no metadata store holds them.
    RouteTablePtr routes;
    SearcherTablePtr searchers;
    // The name of this host.
    std::string self;
    // The entry hosts that callers may use, and the version of the list.
    std::vector<HostAddress> addresses;
    std::uint64_t addressesVersion = 0;
    // The region of each data centre; empty if the settings do not name them.
    std::map<std::string, std::string> regions;
    // How long a caller may cache the address list.
    Duration addressesTtl = std::chrono::seconds(10);
    // Connections that this host may hold to each searcher, by searcher address; absent means none.
    std::map<std::string, unsigned> connectionShares;
    // The epoch of connectionShares. A traffic thread reports the epoch as applied once it holds no more connections than
    // the shares allow.
    std::uint64_t sharesEpoch = 0;
    // Searchers that the host list shows as leaving.
    std::set<std::string> leavingSearchers;
    // For the status page: when the generation was adopted, and since when the platform has been reachable or unreachable.
    TimePoint adoptedAt;
    bool platformReachable = false;
    TimePoint platformSince;
    // True once this host is stopping.
    bool leaving = false;
    // Set while this host is stopping: the time at which requests that still run are cut off.
    std::optional<TimePoint> cutOffAt;
};

using ControlSnapshotPtr = RefPtr<const ControlSnapshot>;
}
