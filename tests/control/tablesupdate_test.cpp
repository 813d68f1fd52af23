#include "quetzallift/model/rendezvous.h"
#include "tests/control/discoveryfixture.h"

#include <algorithm>

using namespace Quetzallift;

namespace
{
// A host and a peer in the same data centre. The parameter selects which of them reads the store for both.
struct TwoHostsFixture : DiscoveryFixture {
    MemberUpdate peer;

    explicit TwoHostsFixture(bool isPeerReader)
    {
        std::string name = "peer";
        while ((rendezvousWeight("watch/", name) > rendezvousWeight("watch/", "host")) != isPeerReader) {
            name += "x";
        }
        peer = {name, {1, 0}, MemberStatus::Live, false, "10.0.0.3:80", "10.0.0.3:81", "", {}};
        answerInitialReads({"x", "y"});
        receive(Announcement{});
        now += std::chrono::seconds(1);
    }

    void receive(PeerMessageBody body)
    {
        PeerMessage message;
        message.sender.self = peer;
        message.body = std::move(body);
        apply(PeerMessageArrived{peer.peerAddress, std::move(message)});
    }

    TablesUpdate update(std::uint64_t from, std::uint64_t to) const
    {
        TablesUpdate update;
        update.configuration = 3;
        update.configurationVersion = 4;
        update.from = from;
        update.to = to;
        return update;
    }

    template<typename Body>
    std::vector<Body> sentBodies() const
    {
        std::vector<Body> bodies;
        for (const SendPeerMessage &message : messages) {
            if (const auto *body = std::get_if<Body>(&message.message.body)) {
                bodies.push_back(*body);
            }
        }
        return bodies;
    }

    std::size_t pendingCalls(PlatformVerb verb) const
    {
        return static_cast<std::size_t>(std::count_if(calls.begin(), calls.end(), [verb](const CallPlatform &call) {
            return call.request.verb == verb;
        }));
    }
};
}

// Guards against store calls by every host: calls are billed, and one host of a data centre can read for all.
Test(tablesupdate, hostWithRelayedTablesDoesNotReadStore)
{
    TwoHostsFixture fixture(true);
    fixture.receive(fixture.update(5, 5));
    fixture.answer(PlatformVerb::WatchConfiguration, PlatformOutcome::Applied, 6);
    fixture.answer(PlatformVerb::WatchSearchers, PlatformOutcome::Applied, 6, SearcherPage());
    fixture.fire(TimerKind::SearchersRead);
    cr_assert_eq(fixture.pendingCalls(PlatformVerb::WatchConfiguration), 0U);
    cr_assert_eq(fixture.pendingCalls(PlatformVerb::WatchSearchers), 0U);
}

// Guards against a host that keeps outdated tables after its reader stopped sending updates.
Test(tablesupdate, readsStoreWithinTwoSecondsOfReaderSilence)
{
    TwoHostsFixture fixture(true);
    fixture.receive(fixture.update(5, 5));
    const TimePoint updatedAt = fixture.now;
    fixture.answer(PlatformVerb::WatchConfiguration, PlatformOutcome::Applied, 6);
    fixture.answer(PlatformVerb::WatchSearchers, PlatformOutcome::Applied, 6, SearcherPage());
    while (fixture.pendingCalls(PlatformVerb::WatchSearchers) == 0) {
        fixture.fire(TimerKind::SearchersRead);
        cr_assert_leq((fixture.now - updatedAt).count(), Duration(std::chrono::seconds(2)).count());
    }
    while (fixture.pendingCalls(PlatformVerb::WatchConfiguration) == 0) {
        fixture.fire(TimerKind::ConfigurationRead);
        cr_assert_leq((fixture.now - updatedAt).count(), Duration(std::chrono::seconds(2)).count());
    }
}

// Guards against treating tables as current because of an update whose sender has not read the store recently.
Test(tablesupdate, oldUpdateDoesNotConfirmTables)
{
    TwoHostsFixture fixture(true);
    TablesUpdate update = fixture.update(5, 5);
    update.age = std::chrono::seconds(3);
    fixture.receive(update);
    fixture.answer(PlatformVerb::WatchSearchers, PlatformOutcome::Applied, 6, SearcherPage());
    fixture.fire(TimerKind::SearchersRead);
    cr_assert_eq(fixture.pendingCalls(PlatformVerb::WatchSearchers), 1U);
}

// Guards against losing searchers between updates, and against applying changes that start after the known version.
Test(tablesupdate, requestsTablesAfterMissedChanges)
{
    TwoHostsFixture fixture(true);
    TablesUpdate update = fixture.update(5, 9);
    update.changes = DiscoveryFixture::page({"z"});
    update.changes.removed = {"x"};
    fixture.receive(update);
    cr_assert(fixture.hasSearcher("z") && fixture.hasSearcher("y") && !fixture.hasSearcher("x"));
    cr_assert(fixture.sentBodies<TablesRequest>().empty());
    fixture.receive(fixture.update(12, 13));
    cr_assert_eq(fixture.sentBodies<TablesRequest>().size(), 1U);
    cr_assert(fixture.sentBodies<TablesRequest>().at(0).searchers);
    TablesReply reply;
    reply.searchers = {{"w", "s", "10.0.0.2:80", "a", 2, false, {}, 1}};
    reply.searchersVersion = 13;
    fixture.receive(reply);
    cr_assert(fixture.hasSearcher("w") && !fixture.hasSearcher("y"));
}

// Guards against a late watch reply that restores searchers which an update has removed.
Test(tablesupdate, lateWatchReplyDoesNotRevertUpdate)
{
    TwoHostsFixture fixture(true);
    TablesUpdate update = fixture.update(5, 9);
    update.changes.removed = {"x"};
    fixture.receive(update);
    fixture.answer(PlatformVerb::WatchSearchers, PlatformOutcome::Applied, 7, DiscoveryFixture::page({"x"}));
    cr_assert(!fixture.hasSearcher("x"));
}

// Guards against a new configuration that only the reader of the store applies.
Test(tablesupdate, requestsNewConfiguration)
{
    TwoHostsFixture fixture(true);
    TablesUpdate update = fixture.update(5, 5);
    update.configuration = 8;
    fixture.receive(update);
    cr_assert_eq(fixture.sentBodies<TablesRequest>().size(), 1U);
    cr_assert_not(fixture.sentBodies<TablesRequest>().at(0).searchers);
    TablesReply reply;
    reply.document = "8";
    reply.configurationVersion = 20;
    reply.withSearchers = false;
    fixture.receive(reply);
    cr_assert_eq(fixture.published->routes->version, 8U);
    cr_assert(fixture.hasSearcher("x"));
}

// Guards against hosts of the data centre that receive no update, and against billed traffic to other data centres.
Test(tablesupdate, readerUpdatesOnlyItsDataCentre)
{
    TwoHostsFixture fixture(false);
    PeerMessage remotePeer;
    remotePeer.sender.self = {"elsewhere", {1, 0}, MemberStatus::Live, false, "10.0.0.4:80", "10.0.0.4:81", "other", {}};
    remotePeer.body = Announcement{};
    fixture.apply(PeerMessageArrived{"10.0.0.4:81", remotePeer});
    fixture.messages.clear();
    fixture.answer(PlatformVerb::WatchSearchers, PlatformOutcome::Applied, 9, DiscoveryFixture::page({"z"}));
    cr_assert_eq(fixture.sentBodies<TablesUpdate>().size(), 1U);
    const TablesUpdate update = fixture.sentBodies<TablesUpdate>().at(0);
    cr_assert_eq(update.from, 5U);
    cr_assert_eq(update.to, 9U);
    cr_assert_eq(update.changes.entries.at(0).entry.id, "z");
    cr_assert_eq(fixture.messages.at(0).address, "10.0.0.3:81");
}
