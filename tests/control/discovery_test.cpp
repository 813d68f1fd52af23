#include "tests/control/discoveryfixture.h"

using namespace Quetzallift;

// Guards against serving traffic without a configuration, and against not watching for the next configuration.
Test(discovery, publishesTablesFromStore)
{
    DiscoveryFixture fixture;
    cr_assert(!fixture.published);
    fixture.answerInitialReads({"x"});
    cr_assert_eq(fixture.published->routes->version, 3U);
    cr_assert(fixture.hasSearcher("x"));
    fixture.answer(PlatformVerb::WatchConfiguration, PlatformOutcome::Applied, 9, DiscoveryFixture::routes(8));
    cr_assert_eq(fixture.published->routes->version, 8U);
}

// Guards against reverting to an older configuration from the store or from an outdated peer.
Test(discovery, configurationNeverReverts)
{
    DiscoveryFixture fixture;
    fixture.answerInitialReads({});
    fixture.answer(PlatformVerb::WatchConfiguration, PlatformOutcome::Applied, 9, DiscoveryFixture::routes(2));
    cr_assert_eq(fixture.published->routes->version, 3U);
    PeerMessage message;
    message.sender.self = {"peer", {1, 0}, MemberStatus::Live, false, "10.0.0.3:80", "10.0.0.3:81", "a", {}};
    message.body = TablesReply{"1", {}, std::chrono::hours(2)};
    fixture.apply(PeerMessageArrived{"10.0.0.3:81", message});
    cr_assert_eq(fixture.published->routes->version, 3U);
    cr_assert_eq(fixture.state.control.discovery.routes->version, 3U);
}

// Guards against losing the searchers of one page of a list, and changes made between pages.
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
    cr_assert(fixture.hasSearcher("x") && fixture.hasSearcher("y"));
    // The watch must start at the version of the first page, so that it repeats changes made between the pages.
    cr_assert_eq(fixture.calls.back().request.version, 5U);
}

// Guards against sending requests to a searcher whose entry was removed while the store was available.
Test(discovery, removesSearcherImmediatelyWithItsEntry)
{
    DiscoveryFixture fixture;
    fixture.answerInitialReads({"x", "y", "z"});
    SearcherPage changes;
    changes.removed = {"x"};
    fixture.answer(PlatformVerb::WatchSearchers, PlatformOutcome::Applied, 6, changes);
    cr_assert(!fixture.hasSearcher("x") && fixture.hasSearcher("y"));
}

// Guards against dropping searchers whose entries expired while the store was unavailable, and against keeping those that
// did not register again after the outage.
Test(discovery, keepsExpiredEntriesForGracePeriod)
{
    DiscoveryFixture fixture;
    fixture.answerInitialReads({"x", "y", "z"});
    fixture.now += std::chrono::seconds(6);
    fixture.answer(PlatformVerb::WatchSearchers, PlatformOutcome::Unknown, 0);
    fixture.fire(TimerKind::SearchersRead);
    SearcherPage changes;
    changes.removed = {"x", "y"};
    fixture.answer(PlatformVerb::WatchSearchers, PlatformOutcome::Applied, 6, changes);
    cr_assert(fixture.hasSearcher("x") && fixture.hasSearcher("y"));
    fixture.fire(TimerKind::SearchersRead);
    fixture.answer(PlatformVerb::WatchSearchers, PlatformOutcome::Applied, 7, DiscoveryFixture::page({"x"}));
    fixture.fire(TimerKind::SearcherExpiry);
    cr_assert(fixture.hasSearcher("x") && !fixture.hasSearcher("y"));
}

// Guards against outdated searchers on a host that keeps watching a history that the store no longer has.
Test(discovery, listsAgainAfterLostHistory)
{
    DiscoveryFixture fixture;
    fixture.answerInitialReads({"x"});
    fixture.answer(PlatformVerb::WatchSearchers, PlatformOutcome::NotApplied, 0);
    fixture.answer(PlatformVerb::ListSearchers, PlatformOutcome::Applied, 40, DiscoveryFixture::page({"y"}));
    cr_assert(!fixture.hasSearcher("x") && fixture.hasSearcher("y"));
}

// Guards against a host that stays without routes because it started while the store was unavailable.
Test(discovery, receivesTablesFromPeerWhileStoreIsUnavailable)
{
    DiscoveryFixture fixture;
    PeerMessage announcement;
    announcement.sender.self = {"peer", {1, 0}, MemberStatus::Live, false, "10.0.0.3:80", "10.0.0.3:81", "a", {}};
    announcement.body = Announcement{};
    fixture.apply(PeerMessageArrived{"10.0.0.3:81", announcement});
    fixture.messages.clear();
    fixture.fire(TimerKind::PeerTablesPoll);
    cr_assert(std::holds_alternative<TablesRequest>(fixture.messages.at(0).message.body));
    PeerMessage reply = announcement;
    reply.body = TablesReply{"7", {{"x", "s", "10.0.0.2:80", "a", 2, false, {}, 1}}, std::chrono::seconds(1)};
    fixture.apply(PeerMessageArrived{"10.0.0.3:81", reply});
    cr_assert_eq(fixture.published->routes->version, 7U);
    cr_assert(fixture.hasSearcher("x"));
}

// Guards against treating changes as a complete list: a host that resumed after a freeze applied a peer's searchers while its
// watch was pending, treated the few changes in the watch's reply as the list, and dropped nearly all searchers.
Test(discovery, doesNotTreatChangesAsList)
{
    DiscoveryFixture fixture;
    fixture.answerInitialReads({"x", "y", "z"});
    fixture.now += std::chrono::seconds(6);
    PeerMessage reply;
    reply.sender.self = {"peer", {1, 0}, MemberStatus::Live, false, "10.0.0.3:80", "10.0.0.3:81", "a", {}};
    reply.body = Announcement{};
    fixture.apply(PeerMessageArrived{"10.0.0.3:81", reply});
    fixture.messages.clear();
    fixture.fire(TimerKind::PeerTablesPoll);
    std::uint64_t number = 0;
    for (const SendPeerMessage &message : fixture.messages) {
        if (const auto *request = std::get_if<TablesRequest>(&message.message.body)) {
            number = request->number;
        }
    }
    reply.body = TablesReply{"", {{"x", "s", "10.0.0.2:80", "a", 2, false, {}, 1}, {"y", "s", "10.0.0.2:80", "a", 2, false, {}, 1}}, std::chrono::seconds(1)};
    std::get<TablesReply>(reply.body).number = number;
    fixture.apply(PeerMessageArrived{"10.0.0.3:81", reply});
    cr_assert(fixture.hasSearcher("x") && fixture.hasSearcher("y") && !fixture.hasSearcher("z"));
    fixture.answer(PlatformVerb::WatchSearchers, PlatformOutcome::Applied, 9, DiscoveryFixture::page({"x"}));
    cr_assert(fixture.hasSearcher("x") && fixture.hasSearcher("y"));
    // The watch started from a version that does not match the peer's searchers, so only a new list is consistent.
    fixture.answer(PlatformVerb::ListSearchers, PlatformOutcome::Applied, 12, DiscoveryFixture::page({"x", "y", "w"}));
    cr_assert(fixture.hasSearcher("y") && fixture.hasSearcher("w"));
}

// Guards against never replacing the host list entry of an earlier process.
Test(discovery, replacesOldHostEntry)
{
    DiscoveryFixture fixture;
    fixture.answer(PlatformVerb::CreateHost, PlatformOutcome::NotApplied, 5);
    fixture.fire(TimerKind::HostRegistration);
    cr_assert_eq(fixture.calls.back().request.version, 5U);
    fixture.answer(PlatformVerb::UpdateHost, PlatformOutcome::Applied, 6);
    cr_assert_eq(fixture.state.control.discovery.hostEntryVersion, 6U);
}

// Guards against entries of other programs that pass for removed searchers: with several of them in one reply, a searcher that
// had left was kept for the grace period of an outage.
Test(discovery, unusableEntriesAreNoOutage)
{
    DiscoveryFixture fixture;
    fixture.answerInitialReads({"x", "y", "z"});
    SearcherPage changes;
    changes.removed = {"odd-1", "odd-2", "odd-3", "x"};
    fixture.answer(PlatformVerb::WatchSearchers, PlatformOutcome::Applied, 6, changes);
    cr_assert(!fixture.hasSearcher("x") && fixture.hasSearcher("y") && fixture.hasSearcher("z"));
}
