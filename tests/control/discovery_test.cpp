#include "tests/control/discoveryfixture.h"

using namespace Quetzallift;

// Guards against traffic under no configuration, and against a host that forgets to watch for the next one.
Test(discovery, publishesWhatItReads)
{
    DiscoveryFixture fixture;
    cr_assert(!fixture.published);
    fixture.start({"x"});
    cr_assert_eq(fixture.published->routes->version, 3U);
    cr_assert(fixture.knows("x"));
    fixture.answer(PlatformVerb::WatchConfiguration, PlatformOutcome::Applied, 9, DiscoveryFixture::routes(8));
    cr_assert_eq(fixture.published->routes->version, 8U);
}

// Guards against a configuration that reverts, from the store or from a peer that is behind.
Test(discovery, configurationNeverReverts)
{
    DiscoveryFixture fixture;
    fixture.start({});
    fixture.answer(PlatformVerb::WatchConfiguration, PlatformOutcome::Applied, 9, DiscoveryFixture::routes(2));
    cr_assert_eq(fixture.published->routes->version, 3U);
    PeerMessage message;
    message.sender.self = {"peer", {1, 0}, MemberStatus::Live, false, "10.0.0.3:80", "10.0.0.3:81", "a", {}};
    message.body = TablesReply{"1", {}, std::chrono::hours(2)};
    fixture.apply(PeerMessageArrived{"10.0.0.3:81", message});
    cr_assert_eq(fixture.published->routes->version, 3U);
    cr_assert_eq(fixture.state.control.discovery.routes->version, 3U);
}

// Guards against searchers of later pages that are lost.
Test(discovery, listsAllPages)
{
    DiscoveryFixture fixture;
    fixture.answer(PlatformVerb::ReadConfiguration, PlatformOutcome::Applied, 4, DiscoveryFixture::routes(3));
    SearcherPage first = DiscoveryFixture::page({"x"});
    first.more = true;
    first.lastName = "x";
    fixture.answer(PlatformVerb::ListSearchers, PlatformOutcome::Applied, 5, first);
    cr_assert_eq(fixture.calls.back().request.object, "x");
    fixture.answer(PlatformVerb::ListSearchers, PlatformOutcome::Applied, 8, DiscoveryFixture::page({"y"}));
    cr_assert(fixture.knows("x") && fixture.knows("y"));
    // Changes between the pages must be seen again.
    cr_assert_eq(fixture.calls.back().request.version, 5U);
}

// Guards against new work for a searcher whose entry is gone while the store is well.
Test(discovery, removedEntryIsGoneAtOnce)
{
    DiscoveryFixture fixture;
    fixture.start({"x", "y", "z"});
    SearcherPage changes;
    changes.removed = {"x"};
    fixture.answer(PlatformVerb::WatchSearchers, PlatformOutcome::Applied, 6, changes);
    cr_assert(!fixture.knows("x") && fixture.knows("y"));
}

// Guards against searchers that are dropped because their entries lapsed while the store was away, and against ones that
// are kept although they did not come back.
Test(discovery, lapsedEntriesHaveTimeToReturn)
{
    DiscoveryFixture fixture;
    fixture.start({"x", "y", "z"});
    fixture.now += std::chrono::seconds(6);
    fixture.answer(PlatformVerb::WatchSearchers, PlatformOutcome::Unknown, 0);
    fixture.fire(TimerKind::SearchersRead);
    SearcherPage changes;
    changes.removed = {"x", "y"};
    fixture.answer(PlatformVerb::WatchSearchers, PlatformOutcome::Applied, 6, changes);
    cr_assert(fixture.knows("x") && fixture.knows("y"));
    fixture.fire(TimerKind::SearchersRead);
    fixture.answer(PlatformVerb::WatchSearchers, PlatformOutcome::Applied, 7, DiscoveryFixture::page({"x"}));
    fixture.fire(TimerKind::SearcherExpiry);
    cr_assert(fixture.knows("x") && !fixture.knows("y"));
}

// Guards against a host that watches a history which the store no longer has.
Test(discovery, lostHistoryIsListedAgain)
{
    DiscoveryFixture fixture;
    fixture.start({"x"});
    fixture.answer(PlatformVerb::WatchSearchers, PlatformOutcome::NotApplied, 0);
    fixture.fire(TimerKind::SearchersRead);
    fixture.answer(PlatformVerb::ListSearchers, PlatformOutcome::Applied, 40, DiscoveryFixture::page({"y"}));
    cr_assert(!fixture.knows("x") && fixture.knows("y"));
}

// Guards against a host that stays without routes because it started while the store is away.
Test(discovery, learnsFromAPeerWhileTheStoreIsAway)
{
    DiscoveryFixture fixture;
    PeerMessage hello;
    hello.sender.self = {"peer", {1, 0}, MemberStatus::Live, false, "10.0.0.3:80", "10.0.0.3:81", "a", {}};
    hello.body = Announcement{};
    fixture.apply(PeerMessageArrived{"10.0.0.3:81", hello});
    fixture.messages.clear();
    fixture.fire(TimerKind::PeerTablesPoll);
    cr_assert(std::holds_alternative<TablesRequest>(fixture.messages.at(0).message.body));
    PeerMessage reply = hello;
    reply.body = TablesReply{"7", {{"x", "s", "10.0.0.2:80", "a", 2, false, {}, 1}}, std::chrono::seconds(1)};
    fixture.apply(PeerMessageArrived{"10.0.0.3:81", reply});
    cr_assert_eq(fixture.published->routes->version, 7U);
    cr_assert(fixture.knows("x"));
}

// Guards against the fault of an own day, freezes-and-clocks: a host that woke up took searchers from a peer while its watch
// was under way, read the few changes in the watch's reply as the whole list, and dropped nearly all searchers.
Test(discovery, changesAreNotTakenForAList)
{
    DiscoveryFixture fixture;
    fixture.start({"x", "y", "z"});
    fixture.now += std::chrono::seconds(6);
    PeerMessage reply;
    reply.sender.self = {"peer", {1, 0}, MemberStatus::Live, false, "10.0.0.3:80", "10.0.0.3:81", "a", {}};
    reply.body = TablesReply{"", {{"x", "s", "10.0.0.2:80", "a", 2, false, {}, 1}, {"y", "s", "10.0.0.2:80", "a", 2, false, {}, 1}}, std::chrono::seconds(1)};
    fixture.apply(PeerMessageArrived{"10.0.0.3:81", reply});
    cr_assert(fixture.knows("x") && fixture.knows("y") && !fixture.knows("z"));
    fixture.answer(PlatformVerb::WatchSearchers, PlatformOutcome::Applied, 9, DiscoveryFixture::page({"x"}));
    cr_assert(fixture.knows("x") && fixture.knows("y"));
    // The watch went on from a version that the peer's searchers do not have, so that only a list brings both together.
    fixture.answer(PlatformVerb::ListSearchers, PlatformOutcome::Applied, 12, DiscoveryFixture::page({"x", "y", "w"}));
    cr_assert(fixture.knows("y") && fixture.knows("w"));
}

// Guards against an entry in the host list that an earlier process left and that is never replaced.
Test(discovery, replacesItsOldHostEntry)
{
    DiscoveryFixture fixture;
    fixture.answer(PlatformVerb::CreateHost, PlatformOutcome::NotApplied, 5);
    fixture.fire(TimerKind::HostRegistration);
    cr_assert_eq(fixture.calls.back().request.version, 5U);
    fixture.answer(PlatformVerb::UpdateHost, PlatformOutcome::Applied, 6);
    cr_assert_eq(fixture.state.control.discovery.hostEntryVersion, 6U);
}
