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
        receiveFrom(peer, std::move(body));
    }

    void receiveFrom(const MemberUpdate &sender, PeerMessageBody body)
    {
        PeerMessage message;
        message.sender.self = sender;
        message.body = std::move(body);
        apply(PeerMessageArrived{sender.peerAddress, std::move(message)});
    }

    // When the pending watch of the searchers was sent.
    TimePoint watchSentAt() const
    {
        for (const auto &[id, call] : state.control.calls) {
            if (call.purpose == PlatformPurpose::WatchSearchers) {
                return call.sentAt;
            }
        }
        cr_assert_fail("no watch of the searchers is pending");
        return {};
    }

    // Whether this host watches the searchers itself once its pending watch has ended.
    bool readsStore()
    {
        answer(PlatformVerb::WatchSearchers, PlatformOutcome::Applied, 6, SearcherPage());
        fire(TimerKind::SearchersRead);
        return pendingCalls(PlatformVerb::WatchSearchers) == 1;
    }

    TablesUpdate update(std::uint64_t from, std::uint64_t to) const
    {
        TablesUpdate update;
        update.configuration = 3;
        update.configurationVersion = 4;
        update.from = from;
        update.upTo = to;
        update.to = to;
        return update;
    }

    // The confirmation of this host's tables that answers its last request.
    TablesConfirmation confirmation(std::uint64_t version) const
    {
        TablesConfirmation confirmation;
        confirmation.number = sentBodies<ConfirmationRequest>().back().number;
        confirmation.configuration = 3;
        confirmation.configurationVersion = 4;
        confirmation.searchersVersion = version;
        confirmation.changedVersion = version;
        return confirmation;
    }

    // Makes this host ask its reader for a confirmation, which arrives at once.
    void confirm(std::uint64_t version)
    {
        fire(TimerKind::PeerTablesPoll);
        receive(confirmation(version));
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
    fixture.confirm(5);
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
    fixture.confirm(5);
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

// Guards against treating tables as current because of a host that has not read the store recently.
Test(tablesupdate, oldConfirmationDoesNotConfirmTables)
{
    TwoHostsFixture fixture(true);
    fixture.fire(TimerKind::PeerTablesPoll);
    TablesConfirmation confirmation = fixture.confirmation(5);
    confirmation.age = std::chrono::seconds(3);
    fixture.receive(confirmation);
    cr_assert(fixture.readsStore());
}

// Guards against requests to a searcher that left seconds ago: the reader's messages wait in its connections, and its followers
// take them for fresh and do not read the store.
Test(tablesupdate, updatesThatWaitDoNotConfirmTables)
{
    TwoHostsFixture fixture(true);
    for (int number = 0; number < 6; ++number) {
        fixture.now += std::chrono::milliseconds(500);
        fixture.receive(fixture.update(5, 5));
    }
    cr_assert(fixture.readsStore());
}

// The same for a confirmation that waits on its way.
Test(tablesupdate, confirmationThatWaitsIsOld)
{
    TwoHostsFixture fixture(true);
    fixture.fire(TimerKind::PeerTablesPoll);
    const TimePoint requestedAt = fixture.now;
    TablesConfirmation confirmation = fixture.confirmation(5);
    confirmation.held = std::chrono::seconds(1);
    confirmation.age = std::chrono::milliseconds(100);
    fixture.now += std::chrono::seconds(4);
    fixture.receive(confirmation);
    cr_assert(fixture.state.control.discovery.relayedReadAt == requestedAt + std::chrono::milliseconds(900));
    cr_assert(fixture.readsStore());
}

// Guards against a reader that is short of processor time and takes replies of the store that waited for it for fresh ones.
Test(tablesupdate, replyThatWaitedForTheReaderIsOld)
{
    TwoHostsFixture fixture(false);
    fixture.receive(ConfirmationRequest{7});
    fixture.answer(PlatformVerb::WatchConfiguration, PlatformOutcome::Applied, 6);
    fixture.messages.clear();
    fixture.receive(ConfirmationRequest{8});
    const TimePoint sentAt = fixture.watchSentAt();
    fixture.now += std::chrono::seconds(3);
    fixture.answer(PlatformVerb::WatchSearchers, PlatformOutcome::Applied, 9, DiscoveryFixture::page({"z"}));
    cr_assert(fixture.state.control.discovery.searchersReadAt == sentAt);
    const std::vector<TablesConfirmation> sent = fixture.sentBodies<TablesConfirmation>();
    cr_assert_eq(sent.size(), 1U);
    cr_assert_eq(sent.at(0).number, 8U);
    cr_assert(sent.at(0).age >= std::chrono::seconds(3));
    cr_assert(sent.at(0).held == std::chrono::seconds(3));
}

// Guards against a host that takes a reply with as many changes as fit into it for the present state, and pauses before it reads on.
Test(tablesupdate, partialChangesDoNotConfirmTables)
{
    TwoHostsFixture fixture(false);
    fixture.answer(PlatformVerb::WatchConfiguration, PlatformOutcome::Applied, 6);
    fixture.receive(ConfirmationRequest{7});
    fixture.messages.clear();
    const auto readAt = fixture.state.control.discovery.searchersReadAt;
    PlatformReply reply{PlatformOutcome::Applied, 9, DiscoveryFixture::page({"z"}), {}};
    reply.partial = true;
    fixture.answer(PlatformVerb::WatchSearchers, reply);
    cr_assert(fixture.hasSearcher("z"));
    cr_assert_eq(fixture.sentBodies<TablesUpdate>().size(), 1U);
    cr_assert(fixture.sentBodies<TablesConfirmation>().empty());
    cr_assert(fixture.state.control.discovery.searchersReadAt == readAt);
    fixture.answer(PlatformVerb::WatchSearchers, PlatformOutcome::Applied, 10, DiscoveryFixture::page({"w"}));
    cr_assert_eq(fixture.sentBodies<TablesConfirmation>().size(), 1U);
}

// Guards against needless reads of the store: a watch that saw no change is newer than its start.
Test(tablesupdate, watchWithoutChangeHoldsForItsEnd)
{
    TwoHostsFixture fixture(false);
    const TimePoint sentAt = fixture.watchSentAt();
    fixture.now += std::chrono::seconds(1);
    PlatformReply reply{PlatformOutcome::Applied, 9, SearcherPage(), {}};
    reply.unchanged = true;
    fixture.answer(PlatformVerb::WatchSearchers, reply);
    cr_assert(fixture.state.control.discovery.searchersReadAt == sentAt + std::chrono::milliseconds(800));
}

// Guards against a reader that confirms too late after a change, so that the hosts that follow it all read the store.
Test(tablesupdate, watchAfterChangeIsShort)
{
    TwoHostsFixture fixture(false);
    fixture.now = fixture.watchSentAt() + std::chrono::milliseconds(700);
    fixture.answer(PlatformVerb::WatchSearchers, PlatformOutcome::Applied, 9, DiscoveryFixture::page({"z"}));
    fixture.fire(TimerKind::SearchersRead);
    cr_assert_leq(fixture.calls.back().request.timeout.count(), Duration(std::chrono::milliseconds(200)).count());
}

// Guards against whole tables for every host after a confirmation that overtook its update.
Test(tablesupdate, confirmationMayOvertakeItsUpdate)
{
    TwoHostsFixture fixture(true);
    fixture.fire(TimerKind::PeerTablesPoll);
    fixture.receive(fixture.confirmation(9));
    cr_assert(fixture.sentBodies<TablesRequest>().empty());
    TablesUpdate update = fixture.update(5, 9);
    update.changes.removed = {"x"};
    fixture.receive(update);
    fixture.now += std::chrono::seconds(1);
    fixture.receive(fixture.confirmation(9));
    cr_assert(fixture.sentBodies<TablesRequest>().empty());
    cr_assert(fixture.state.control.discovery.relayedReadAt.has_value());
    fixture.receive(fixture.confirmation(12));
    fixture.now += std::chrono::seconds(1);
    fixture.receive(fixture.confirmation(12));
    cr_assert_eq(fixture.sentBodies<TablesRequest>().size(), 1U);
}

// Guards against a reader that is busy for seconds with a message that it encodes anew for each of its followers.
Test(tablesupdate, changesAreEncodedOnceForAllHosts)
{
    constexpr std::size_t Followers = 50;
    TwoHostsFixture fixture(false);
    for (std::size_t number = 1; number < Followers; ++number) {
        MemberUpdate follower = fixture.peer;
        follower.name += "-" + std::to_string(number);
        follower.peerAddress = "10.0.1." + std::to_string(number) + ":81";
        while (rendezvousWeight("watch/", follower.name) > rendezvousWeight("watch/", "host")) {
            follower.name += "x";
        }
        fixture.receiveFrom(follower, Announcement{});
    }
    fixture.broadcasts.clear();
    fixture.messages.clear();
    fixture.answer(PlatformVerb::WatchSearchers, PlatformOutcome::Applied, 9, DiscoveryFixture::page({"z"}));
    cr_assert_eq(fixture.broadcasts.size(), 1U);
    cr_assert_eq(fixture.broadcasts.at(0).addresses.size(), Followers);
    cr_assert_eq(fixture.messages.size(), Followers);
}

// Guards against whole tables for every host after the store has dropped its history: the reader lists, and its followers, which
// have the table that it had before, only need the difference.
Test(tablesupdate, listAfterLostHistoryIsRelayedAsChanges)
{
    TwoHostsFixture reader(false);
    reader.answer(PlatformVerb::WatchSearchers, PlatformOutcome::NotApplied, 0);
    reader.answer(PlatformVerb::ListSearchers, PlatformOutcome::Applied, 20, DiscoveryFixture::page({"y", "z"}));
    const std::vector<TablesUpdate> sent = reader.sentBodies<TablesUpdate>();
    cr_assert_eq(sent.size(), 1U);
    cr_assert_eq(sent.at(0).changes.entries.size(), 1U);
    TwoHostsFixture follower(true);
    follower.receive(sent.at(0));
    cr_assert(!follower.hasSearcher("x") && follower.hasSearcher("y") && follower.hasSearcher("z"));
    cr_assert(follower.sentBodies<TablesRequest>().empty());
    TwoHostsFixture ahead(true);
    ahead.answer(PlatformVerb::WatchSearchers, PlatformOutcome::Applied, 9, DiscoveryFixture::page({"w"}));
    ahead.receive(sent.at(0));
    cr_assert_eq(ahead.sentBodies<TablesRequest>().size(), 1U);
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
