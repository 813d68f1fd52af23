#pragma once

#include "quetzallift/model/bundle.h"
#include "quetzallift/model/routetable.h"
#include "quetzallift/model/searchertable.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Quetzallift
{
// An entry host as callers see it.
struct HostAddress {
    std::string name;
    std::string address;
    std::string dataCentre;
};

// The control decisions that traffic threads follow. Immutable: a change is a new value.
struct ControlSnapshot : RefCounted<ControlSnapshot> {
    Generation generation;
    BundlePtr bundle;
    // The configuration of routes and the searchers behind them; null without a metadata store that holds them.
    RouteTablePtr routes;
    SearcherTablePtr searchers;
    // The entry hosts that callers may use, and the version of this list.
    std::vector<HostAddress> addresses;
    std::uint64_t addressesVersion = 0;
    // The region of each data centre; empty if the settings do not name them.
    std::map<std::string, std::string> regions;
    // How long a caller may keep an answer about addresses.
    Duration addressesTtl = std::chrono::seconds(10);
    // Connections that this host may hold to each searcher, by searcher address; absent means none.
    std::map<std::string, unsigned> connectionShares;
    // The epoch of these shares. A traffic thread reports once it holds no more than they allow.
    std::uint64_t sharesEpoch = 0;
    // Searchers that the host list shows as leaving.
    std::set<std::string> leavingSearchers;
    // For the status page: when the generation came into force, and since when the platform answers or does not.
    TimePoint adoptedAt;
    bool platformReachable = false;
    TimePoint platformSince;
    // True once this host is stopping.
    bool leaving = false;
};

using ControlSnapshotPtr = RefPtr<const ControlSnapshot>;
}
