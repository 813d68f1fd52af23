#include "quetzallift/model/rendezvous.h"
#include "tests/control/discoveryfixture.h"

#include <algorithm>

using namespace Quetzallift;

namespace
{
// A host and another one of its data centre, which reads the store for both or not.
struct TwoHostsFixture : DiscoveryFixture {
    MemberUpdate peer;

    explicit TwoHostsFixture(bool peerReads)
    {
        std::string name = "peer";
        while ((rendezvousWeight("watch/", name) > rendezvousWeight("watch/", "host")) != peerReads) {
            name += "x";
        }
        peer = {name, {1, 0}, MemberStatus::Live, false, "10.0.0.3:80", "10.0.0.3:81", "", {}};
        start({"x", "y"});
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
    std::vector<Body> sent() const
    {
        std::vector<Body> bodies;
        for (const SendPeerMessage &message : messages) {
            if (const auto *body = std::get_if<Body>(&message.message.body)) {
                bodies.push_back(*body);
            }
        }
        return bodies;
    }

    std::size_t pending(PlatformVerb verb) const
    {
        return static_cast<std::size_t>(std::count_if(calls.begin(), calls.end(), [verb](const CallPlatform &call) {
            return call.request.verb == verb;
        }));
    }
};
}

// Guards against store calls of every host: each has a price, and one host of a data centre can read for all.
Test(tablesupdate, hostThatIsKeptUpToDateDoesNotReadTheStore)
{
    TwoHostsFixture fixture(true);
    fixture.receive(fixture.update(5, 5));
    fixture.answer(PlatformVerb::WatchConfiguration, PlatformOutcome::Applied, 6);
    fixture.answer(PlatformVerb::WatchSearchers, PlatformOutcome::Applied, 6, SearcherPage());
    fixture.fire(TimerKind::SearchersRead);
    cr_assert_eq(fixture.pending(PlatformVerb::WatchConfiguration), 0U);
    cr_assert_eq(fixture.pending(PlatformVerb::WatchSearchers), 0U);
}

// Guards against a host that goes on with old tables after the one that reads for it fell silent.
Test(tablesupdate, silentReaderIsReplacedWithinTwoSeconds)
{
    TwoHostsFixture fixture(true);
    fixture.receive(fixture.update(5, 5));
    const TimePoint toldAt = fixture.now;
    fixture.answer(PlatformVerb::WatchConfiguration, PlatformOutcome::Applied, 6);
    fixture.answer(PlatformVerb::WatchSearchers, PlatformOutcome::Applied, 6, SearcherPage());
    while (fixture.pending(PlatformVerb::WatchSearchers) == 0) {
        fixture.fire(TimerKind::SearchersRead);
        cr_assert_leq((fixture.now - toldAt).count(), Duration(std::chrono::seconds(2)).count());
    }
    while (fixture.pending(PlatformVerb::WatchConfiguration) == 0) {
        fixture.fire(TimerKind::ConfigurationRead);
        cr_assert_leq((fixture.now - toldAt).count(), Duration(std::chrono::seconds(2)).count());
    }
}

// Guards against an update that vouches for tables although the store has not answered its sender for long.
Test(tablesupdate, oldUpdateDoesNotVouch)
{
    TwoHostsFixture fixture(true);
    TablesUpdate update = fixture.update(5, 5);
    update.age = std::chrono::seconds(3);
    fixture.receive(update);
    fixture.answer(PlatformVerb::WatchSearchers, PlatformOutcome::Applied, 6, SearcherPage());
    fixture.fire(TimerKind::SearchersRead);
    cr_assert_eq(fixture.pending(PlatformVerb::WatchSearchers), 1U);
}

// Guards against searchers that are lost between updates, and against changes applied to tables that they do not follow on.
Test(tablesupdate, changesFollowOnEachOther)
{
    TwoHostsFixture fixture(true);
    TablesUpdate update = fixture.update(5, 9);
    update.changes = DiscoveryFixture::page({"z"});
    update.changes.removed = {"x"};
    fixture.receive(update);
    cr_assert(fixture.knows("z") && fixture.knows("y") && !fixture.knows("x"));
    cr_assert(fixture.sent<TablesRequest>().empty());
    fixture.receive(fixture.update(12, 13));
    cr_assert_eq(fixture.sent<TablesRequest>().size(), 1U);
    cr_assert(fixture.sent<TablesRequest>().at(0).searchers);
    TablesReply reply;
    reply.searchers = {{"w", "s", "10.0.0.2:80", "a", 2, false, {}, 1}};
    reply.searchersVersion = 13;
    fixture.receive(reply);
    cr_assert(fixture.knows("w") && !fixture.knows("y"));
}

// Guards against a watch of this host, answered late, that brings back searchers which an update removed.
Test(tablesupdate, lateWatchDoesNotRevert)
{
    TwoHostsFixture fixture(true);
    TablesUpdate update = fixture.update(5, 9);
    update.changes.removed = {"x"};
    fixture.receive(update);
    fixture.answer(PlatformVerb::WatchSearchers, PlatformOutcome::Applied, 7, DiscoveryFixture::page({"x"}));
    cr_assert(!fixture.knows("x"));
}

// Guards against a configuration that only the reader follows.
Test(tablesupdate, newConfigurationIsAskedFor)
{
    TwoHostsFixture fixture(true);
    TablesUpdate update = fixture.update(5, 5);
    update.configuration = 8;
    fixture.receive(update);
    cr_assert_eq(fixture.sent<TablesRequest>().size(), 1U);
    cr_assert_not(fixture.sent<TablesRequest>().at(0).searchers);
    TablesReply reply;
    reply.document = "8";
    reply.configurationVersion = 20;
    reply.withSearchers = false;
    fixture.receive(reply);
    cr_assert_eq(fixture.published->routes->version, 8U);
    cr_assert(fixture.knows("x"));
}

// Guards against hosts of the data centre that are not told, and against bytes to hosts of others, which have a price.
Test(tablesupdate, readerTellsItsDataCentre)
{
    TwoHostsFixture fixture(false);
    PeerMessage elsewhere;
    elsewhere.sender.self = {"elsewhere", {1, 0}, MemberStatus::Live, false, "10.0.0.4:80", "10.0.0.4:81", "other", {}};
    elsewhere.body = Announcement{};
    fixture.apply(PeerMessageArrived{"10.0.0.4:81", elsewhere});
    fixture.messages.clear();
    fixture.answer(PlatformVerb::WatchSearchers, PlatformOutcome::Applied, 9, DiscoveryFixture::page({"z"}));
    cr_assert_eq(fixture.sent<TablesUpdate>().size(), 1U);
    const TablesUpdate update = fixture.sent<TablesUpdate>().at(0);
    cr_assert_eq(update.from, 5U);
    cr_assert_eq(update.to, 9U);
    cr_assert_eq(update.changes.entries.at(0).entry.id, "z");
    cr_assert_eq(fixture.messages.at(0).address, "10.0.0.3:81");
}
