#include "tests/control/discoveryfixture.h"

using namespace Quetzallift;

namespace
{
// A host that takes over tables of a peer.
struct PeerFixture : DiscoveryFixture {
    void receive(PeerMessageBody body)
    {
        PeerMessage message;
        message.sender.self = {"peer", {1, 0}, MemberStatus::Live, false, "10.0.0.3:80", "10.0.0.3:81", "a", {}};
        message.body = std::move(body);
        apply(PeerMessageArrived{"10.0.0.3:81", std::move(message)});
    }

    // The tables that this host sends on request.
    TablesReply tables()
    {
        messages.clear();
        receive(TablesRequest{});
        for (const SendPeerMessage &message : messages) {
            if (const auto *reply = std::get_if<TablesReply>(&message.message.body)) {
                return *reply;
            }
        }
        cr_assert_fail("the host sent no tables");
        return {};
    }

    // Loses the store for six seconds, after which it reads that the entries of the given searchers are gone.
    void loseStore(std::uint64_t version, const std::vector<std::string> &removed)
    {
        answer(PlatformVerb::WatchSearchers, PlatformOutcome::Unknown, 0);
        now += std::chrono::seconds(6);
        fire(TimerKind::SearchersRead);
        SearcherPage changes;
        changes.removed = removed;
        answer(PlatformVerb::WatchSearchers, PlatformOutcome::Applied, version, changes);
    }

    // Fires the timers that are due within the given time.
    void pass(Duration duration)
    {
        const TimePoint end = now + duration;
        for (const StartTimer &timer : std::exchange(timers, {})) {
            if (timer.at > now && timer.at <= end && timer.timer.kind == TimerKind::SearcherExpiry) {
                now = timer.at;
                apply(TimerFired{timer.timer});
            }
        }
        now = end;
    }
};

constexpr Duration LongerThanGrace = std::chrono::seconds(3);
}

// Guards against a restarted host that uses a searcher which had left, as long as it answers: a peer that had lost the store
// kept the searcher for a grace period, and its tables did not say so.
Test(peertables, restartedHostDropsSearcherThatPeerIsAboutToDrop)
{
    PeerFixture peer;
    peer.answerInitialReads({"x", "y", "z"});
    peer.loseStore(6, {"x"});
    cr_assert(peer.hasSearcher("x"));
    PeerFixture restarted;
    restarted.now = peer.now;
    restarted.receive(peer.tables());
    cr_assert(restarted.hasSearcher("x") && restarted.hasSearcher("y"));
    restarted.pass(LongerThanGrace);
    cr_assert_not(restarted.hasSearcher("x"));
    cr_assert(restarted.hasSearcher("y") && restarted.hasSearcher("z"));
}

// Guards against a host that uses a searcher again which it had dropped, because a peer that had lost the store still keeps it.
Test(peertables, droppedSearcherIsNotTakenBackFromPeer)
{
    PeerFixture peer;
    peer.answerInitialReads({"x", "y", "z"});
    PeerFixture host;
    host.answerInitialReads({"x", "y", "z"});
    SearcherPage changes;
    changes.removed = {"x"};
    host.answer(PlatformVerb::WatchSearchers, PlatformOutcome::Applied, 6, changes);
    cr_assert_not(host.hasSearcher("x"));
    peer.loseStore(8, {"x"});
    host.now = peer.now;
    host.receive(peer.tables());
    cr_assert_eq(host.state.control.discovery.searchersVersion, 8U);
    cr_assert_not(host.hasSearcher("x"));
    cr_assert(host.hasSearcher("y") && host.hasSearcher("z"));
}

// Guards against dropping a searcher that registered again after an outage, since a peer's tables said that it was about to be
// dropped.
Test(peertables, searcherThatRegistersAgainIsKept)
{
    PeerFixture peer;
    peer.answerInitialReads({"x", "y", "z"});
    peer.loseStore(6, {"x"});
    PeerFixture restarted;
    restarted.now = peer.now;
    restarted.receive(peer.tables());
    peer.fire(TimerKind::SearchersRead);
    peer.answer(PlatformVerb::WatchSearchers, PlatformOutcome::Applied, 7, DiscoveryFixture::page({"x"}));
    restarted.receive(peer.tables());
    restarted.pass(LongerThanGrace);
    cr_assert(restarted.hasSearcher("x"));
}

// Guards against a host that uses a searcher again which had left, because a peer's older tables waited in the connection and
// seemed to be newer than they are.
Test(peertables, olderTablesDoNotReplaceNewerOnes)
{
    PeerFixture host;
    host.answerInitialReads({"x", "y", "z"});
    TablesReply older;
    older.searchersVersion = 5;
    for (const ReportedSearcher &reported : DiscoveryFixture::page({"x", "y", "z"}).entries) {
        older.searchers.push_back(reported.entry);
    }
    SearcherPage changes;
    changes.removed = {"x"};
    host.answer(PlatformVerb::WatchSearchers, PlatformOutcome::Applied, 6, changes);
    host.now += std::chrono::seconds(4);
    host.receive(older);
    cr_assert_not(host.hasSearcher("x"));
    cr_assert_eq(host.state.control.discovery.searchersVersion, 6U);
}

// Guards against a host that uses a searcher again which had left, because a list of the store arrived after a peer's later tables.
Test(peertables, lateListDoesNotReplaceLaterTables)
{
    PeerFixture host;
    host.answer(PlatformVerb::ReadConfiguration, PlatformOutcome::Applied, 4, DiscoveryFixture::routes(3));
    TablesReply later;
    later.searchersVersion = 6;
    later.searchers.push_back(DiscoveryFixture::page({"y"}).entries.at(0).entry);
    host.receive(later);
    host.answer(PlatformVerb::ListSearchers, PlatformOutcome::Applied, 5, DiscoveryFixture::page({"x", "y"}));
    cr_assert_not(host.hasSearcher("x"));
    cr_assert_eq(host.state.control.discovery.searchersVersion, 6U);
    cr_assert_eq(host.calls.back().request.version, 6U);
}
