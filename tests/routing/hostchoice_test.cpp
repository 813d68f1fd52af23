#include "quetzallift/routing/hostchoice.h"

#include <criterion/criterion.h>

using namespace Quetzallift;

namespace
{
// Two regions of two data centres each, with a searcher of the only shard in the first data centre of each region.
RefPtr<ControlSnapshot> twoRegions()
{
    RefPtr<RouteTable> routes(new RouteTable);
    Route &route = routes->routes.emplace_back();
    route.shards = {"shard"};
    RefPtr<SearcherTable> searchers(new SearcherTable);
    searchers->entries["x"] = {"x", "shard", "10.0.0.1:80", "north-a", 2, false, {}, 1};
    searchers->entries["y"] = {"y", "shard", "10.0.0.2:80", "south-a", 2, false, {}, 1};
    RefPtr<ControlSnapshot> control(new ControlSnapshot);
    control->routes = routes;
    control->searchers = searchers;
    control->regions = {{"north-a", "north"}, {"north-b", "north"}, {"south-a", "south"}, {"south-b", "south"}};
    for (const auto &[dataCentre, region] : control->regions) {
        control->addresses.push_back({"host-" + dataCentre, "10.0.1.1:80", dataCentre});
    }
    return control;
}

std::string namesFor(const ControlSnapshot &control, const std::string &dataCentre)
{
    std::string names;
    for (const HostAddress &host : hostsForClients(control, dataCentre)) {
        names += host.name + " ";
    }
    return names;
}
}

// Guards against clients that are sent to another data centre although their own has searchers.
Test(hostchoice, prefersOwnDataCentreWithSearchers)
{
    cr_assert_eq(namesFor(*twoRegions(), "north-a"), "host-north-a ");
}

// Guards against clients that are sent to another region although their own has searchers.
Test(hostchoice, prefersSameRegion)
{
    cr_assert_eq(namesFor(*twoRegions(), "north-b"), "host-north-a ");
    cr_assert_eq(namesFor(*twoRegions(), "south-b"), "host-south-a ");
}

// Guards against an empty answer when the hosts of the region are gone or the data centre is unknown.
Test(hostchoice, fallsBackToOtherRegions)
{
    RefPtr<ControlSnapshot> control = twoRegions();
    std::erase_if(control->addresses, [](const HostAddress &host) {
        return host.dataCentre == "north-a";
    });
    cr_assert_eq(namesFor(*control, "north-b"), "host-south-a ");
    cr_assert_eq(namesFor(*twoRegions(), "elsewhere"), "host-north-a host-south-a ");
}
