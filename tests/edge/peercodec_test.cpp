#include "quetzallift/edge/peercodec.h"
#include "quetzallift/model/error.h"

#include <criterion/criterion.h>

using namespace Quetzallift;

namespace
{
PeerMessage sampleMessage(PeerMessageBody body)
{
    PeerMessage message;
    message.sender.self = {"kingston-1", {7, 2}, MemberStatus::Live, false, "10.0.0.1:80", "10.0.0.1:81", "kingston-a", "cell-1", 500, true};
    message.sender.generation.value = 9;
    message.sender.sharesEpoch = 4;
    message.updates.push_back({"ocho-1", {8, 0}, MemberStatus::Gone, true, {}, {}, {}, {}});
    message.body = std::move(body);
    return message;
}

PeerMessage roundTrip(PeerMessageBody body)
{
    return decodePeerMessage(encodePeerMessage(sampleMessage(std::move(body))), "10.0.0.1:81");
}
}

// Guards against a field of the header or of a member update that is not encoded, such as an acknowledged epoch.
Test(peercodec, headerAndMemberUpdatesRoundTrip)
{
    const PeerMessage message = roundTrip(ProbeReply{3, "waco-1"});
    cr_assert_eq(message.sender.generation.value, 9U);
    cr_assert_eq(message.sender.sharesEpoch, 4U);
    cr_assert_eq(message.sender.self.incarnation.refutation, 2U);
    cr_assert(message.sender.self.peerAddress == "10.0.0.1:81");
    cr_assert(message.sender.self.capacity == 500U && message.sender.self.busy);
    cr_assert(message.updates.at(0).status == MemberStatus::Gone && message.updates.at(0).stopped);
    cr_assert(std::get<ProbeReply>(message.body).subject == "waco-1");
}

// Guards against a shares record that is encoded without the earlier epochs, which still limit the receiver's share.
Test(peercodec, sharesRoundTripWithEarlierEpochs)
{
    const SharesRecord record{{2, {{"a", 5, 1}}}, {{1, {{"a", 5, 1}, {"b", 6, 1}}}}};
    const PeerMessage message = roundTrip(SharesReply{record});
    const SharesRecord &read = std::get<SharesReply>(message.body).shares;
    cr_assert(read.current.hosts == record.current.hosts);
    cr_assert(read.earlier.at(0).hosts == record.earlier.at(0).hosts);
}

// Guards against a control thread that ends because a faulty peer sends a truncated message; the error must name the peer.
Test(peercodec, truncatedMessageIsAnError)
{
    const std::string bytes = encodePeerMessage(sampleMessage(SyncRequest{{1, 2}}));
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        try {
            decodePeerMessage(bytes.substr(0, length), "10.0.0.1:81");
            cr_assert_fail("a message cut at %zu bytes was accepted", length);
        } catch (const Error &error) {
            cr_assert(error.peer() == "10.0.0.1:81");
        }
    }
}

// Guards against a change of searchers that is lost or altered in the encoding for other hosts of a data centre.
Test(peercodec, tablesUpdateRoundTrips)
{
    TablesUpdate update;
    update.configuration = 8;
    update.configurationVersion = 30;
    update.from = 31;
    update.to = 35;
    update.upTo = 33;
    update.document = "{}";
    update.grace = std::chrono::milliseconds(700);
    update.changes.entries.push_back({{"x", "s", "10.0.0.2:80", "a", 2, true, {}, 9}, std::chrono::milliseconds(250)});
    update.changes.removed = {"y"};
    const TablesUpdate read = std::get<TablesUpdate>(roundTrip(update).body);
    cr_assert_eq(read.configuration, 8U);
    cr_assert_eq(read.configurationVersion, 30U);
    cr_assert(read.from == 31U && read.upTo == 33U && read.to == 35U);
    cr_assert_eq(read.document, "{}");
    cr_assert(read.grace == std::chrono::milliseconds(700));
    cr_assert_eq(read.changes.removed.at(0), "y");
    const ReportedSearcher &reported = read.changes.entries.at(0);
    cr_assert(reported.entry.id == "x" && reported.entry.draining && reported.entry.startedAtMs == 9U);
    cr_assert(reported.coldFor == std::chrono::milliseconds(250));
}

// Guards against a confirmation whose age or versions change on the way, so that a host takes old tables for current ones.
Test(peercodec, confirmationRoundTrips)
{
    cr_assert_eq(std::get<ConfirmationRequest>(roundTrip(ConfirmationRequest{7}).body).number, 7U);
    TablesConfirmation confirmation{7, std::chrono::milliseconds(900), std::chrono::milliseconds(30), 8, 30, 35, 33};
    const TablesConfirmation read = std::get<TablesConfirmation>(roundTrip(confirmation).body);
    cr_assert_eq(read.number, 7U);
    cr_assert(read.held == std::chrono::milliseconds(900) && read.age == std::chrono::milliseconds(30));
    cr_assert(read.configuration == 8U && read.configurationVersion == 30U);
    cr_assert(read.searchersVersion == 35U && read.changedVersion == 33U);
}

// Guards against tables whose receiver takes a searcher that is about to be dropped for a live one.
Test(peercodec, tablesReplyRoundTripsWithExpiringSearchers)
{
    TablesReply reply;
    reply.searchersVersion = 6;
    reply.searchers = {{"x", "s", "10.0.0.2:80", "a", 2, false, {}, 9}, {"y", "s", "10.0.0.3:80", "a", 2, false, {}, 9}};
    reply.expiring["x"] = std::chrono::milliseconds(600);
    const TablesReply read = std::get<TablesReply>(roundTrip(reply).body);
    cr_assert_eq(read.searchers.size(), 2U);
    cr_assert_eq(read.expiring.size(), 1U);
    cr_assert(read.expiring.at("x") == std::chrono::milliseconds(600));
}
