#include "quetzallift/edge/peercodec.h"

#include "quetzallift/edge/bundlecodec.h"
#include "quetzallift/edge/jsonfields.h"
#include "quetzallift/edge/platformcodec.h"
#include "quetzallift/edge/sharescodec.h"
#include "quetzallift/model/error.h"
#include "quetzallift/model/namelimits.h"

#include <nlohmann/json.hpp>

namespace Quetzallift
{
namespace
{
using nlohmann::json;

constexpr std::uint64_t MaximumBuckets = 4096;
// Limit of the ages and durations in a message. A host that was disconnected for a year is regarded as faulty.
constexpr Duration MaximumReportedDuration = std::chrono::hours(24 * 365);

std::int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

json encode(const SearcherEntry &entry)
{
    return {{"id", entry.id},
            {"service", entry.service},
            {"address", entry.address},
            {"data_centre", entry.dataCentre},
            {"slots", entry.slots},
            {"draining", entry.draining},
            {"born_at", entry.startedAtMs}};
}

// A member update is an array, which takes less than half the bytes of an object with field names. The addresses are
// omitted from an update without a peer address, which is of no use to hosts that do not know the member.
json encode(const MemberUpdate &update)
{
    json fields = {update.name, update.incarnation.process, update.incarnation.refutation, static_cast<unsigned>(update.status), update.stopped};
    if (!update.peerAddress.empty()) {
        fields.push_back(update.address);
        fields.push_back(update.peerAddress);
        fields.push_back(update.dataCentre);
        fields.push_back(update.cell);
        fields.push_back(update.capacity);
        fields.push_back(update.busy);
    }
    return fields;
}

json encode(const std::vector<MemberUpdate> &updates)
{
    json list = json::array();
    for (const MemberUpdate &update : updates) {
        list.push_back(encode(update));
    }
    return list;
}

// Writes the kind and the fields of a message body.
struct BodyEncoder {
    json &fields;

    void operator()(const Probe &body) const
    {
        fields["kind"] = "probe";
        fields["n"] = body.number;
    }
    void operator()(const ProbeReply &body) const
    {
        fields["kind"] = "probe_reply";
        fields["n"] = body.number;
        fields["subject"] = body.subject;
    }
    void operator()(const IndirectProbe &body) const
    {
        fields["kind"] = "indirect_probe";
        fields["n"] = body.number;
        fields["subject"] = body.subject;
        fields["peer_address"] = body.peerAddress;
    }
    void operator()(const Announcement &body) const
    {
        fields["kind"] = "announcement";
        fields["reply_wanted"] = body.replyWanted;
    }
    void operator()(const BundleRequest &) const
    {
        fields["kind"] = "bundle_request";
    }
    void operator()(const BundleReply &body) const
    {
        fields["kind"] = "bundle_reply";
        fields["rollout"] = encodePlatformValue(body.rollout);
        fields["bundle"] = body.bundle ? body.bundle->content : std::string();
    }
    void operator()(const SharesRequest &) const
    {
        fields["kind"] = "shares_request";
    }
    void operator()(const SharesReply &body) const
    {
        fields["kind"] = "shares_reply";
        fields["shares"] = encodeShares(body.shares);
    }
    void operator()(const SyncRequest &body) const
    {
        fields["kind"] = "sync_request";
        fields["buckets"] = body.buckets;
    }
    void operator()(const SyncReply &body) const
    {
        fields["kind"] = "sync_reply";
        fields["members"] = encode(body.members);
        fields["more"] = body.more;
    }
    void operator()(const TablesRequest &body) const
    {
        fields["kind"] = "tables_request";
        fields["n"] = body.number;
        fields["configuration"] = body.configuration;
        fields["searchers"] = body.searchers;
    }
    void operator()(const TablesReply &body) const
    {
        fields["kind"] = "tables_reply";
        fields["n"] = body.number;
        fields["document"] = body.document;
        fields["age_ms"] = toMilliseconds(body.age);
        fields["configuration_version"] = body.configurationVersion;
        fields["searchers_version"] = body.searchersVersion;
        fields["with_searchers"] = body.withSearchers;
        fields["searchers"] = json::array();
        for (const SearcherEntry &entry : body.searchers) {
            json item = encode(entry);
            // Only on these entries, since hosts of earlier versions refuse fields that they do not know.
            if (const auto left = body.expiring.find(entry.id); left != body.expiring.end()) {
                item["expires_ms"] = toMilliseconds(left->second);
            }
            fields["searchers"].push_back(std::move(item));
        }
    }
    void operator()(const TablesUpdate &body) const
    {
        fields["kind"] = "tables_update";
        fields["configuration"] = body.configuration;
        fields["configuration_version"] = body.configurationVersion;
        if (!body.document.empty()) {
            fields["document"] = body.document;
        }
        fields["from"] = body.from;
        fields["up_to"] = body.upTo;
        fields["to"] = body.to;
        fields["grace_ms"] = toMilliseconds(body.grace);
        fields["removed"] = body.changes.removed;
        fields["entries"] = json::array();
        for (const ReportedSearcher &reported : body.changes.entries) {
            json entry = encode(reported.entry);
            entry["cold_ms"] = toMilliseconds(reported.coldFor);
            fields["entries"].push_back(std::move(entry));
        }
    }
    void operator()(const ConfirmationRequest &body) const
    {
        fields["kind"] = "confirmation_request";
        fields["n"] = body.number;
    }
    void operator()(const TablesConfirmation &body) const
    {
        fields["kind"] = "tables_confirmation";
        fields["n"] = body.number;
        fields["held_ms"] = toMilliseconds(body.held);
        fields["age_ms"] = toMilliseconds(body.age);
        fields["configuration"] = body.configuration;
        fields["configuration_version"] = body.configurationVersion;
        fields["searchers_version"] = body.searchersVersion;
        fields["changed_version"] = body.changedVersion;
    }
};

// Reads a message from one peer; each error names that peer.
class Decoder
{
public:
    Decoder(const json &document, const std::string &peer)
        : m_fields(document, Step::PassOn, peer)
        , m_peer(peer)
    { }

    PeerMessage message()
    {
        PeerMessage message;
        message.sender.self = update(m_fields.value("self"), "self");
        message.sender.generation.value = m_fields.integer("generation", 0, UINT64_MAX);
        message.sender.sharesEpoch = m_fields.integer("shares_epoch", 0, UINT64_MAX);
        message.updates = updates("updates");
        message.body = body();
        m_fields.rejectUnknown();
        return message;
    }

private:
    [[noreturn]] void fail(const std::string &detail) const
    {
        throw Error(Step::PassOn, m_peer, detail);
    }

    MemberUpdate update(const json &fields, const std::string &name) const
    {
        constexpr std::size_t ShortFieldCount = 5;
        // Without the last two fields in the messages of earlier versions.
        constexpr std::size_t AddressFieldCount = 9;
        constexpr std::size_t FullFieldCount = 11;
        const std::size_t count = fields.is_array() ? fields.size() : 0;
        if (count != ShortFieldCount && count != AddressFieldCount && count != FullFieldCount) {
            fail(name + " is not a member update of 5, 9 or 11 fields");
        }
        MemberUpdate update;
        try {
            update.name = fields[0].get<std::string>();
            update.incarnation = {fields[1].get<std::uint64_t>(), fields[2].get<std::uint64_t>()};
            const auto status = fields[3].get<unsigned>();
            if (update.name.empty() || update.name.size() > MaximumNameLength || status > static_cast<unsigned>(MemberStatus::Gone)) {
                fail(name + " has an unknown status, or a name that is empty or too long");
            }
            update.status = static_cast<MemberStatus>(status);
            update.stopped = fields[4].get<bool>();
            if (count >= AddressFieldCount) {
                update.address = fields[5].get<std::string>();
                update.peerAddress = fields[6].get<std::string>();
                update.dataCentre = fields[7].get<std::string>();
                update.cell = fields[8].get<std::string>();
            }
            if (count == FullFieldCount) {
                update.capacity = fields[9].get<unsigned>();
                update.busy = fields[10].get<bool>();
            }
        } catch (const json::exception &error) {
            fail(name + " has a field of the wrong type: " + error.what());
        }
        return update;
    }

    std::vector<MemberUpdate> updates(const std::string &name)
    {
        const json &list = m_fields.value(name);
        if (!list.is_array()) {
            fail(name + " is not a list");
        }
        std::vector<MemberUpdate> updates;
        for (const json &item : list) {
            updates.push_back(update(item, name));
        }
        return updates;
    }

    SyncRequest syncRequest()
    {
        const json &list = m_fields.value("buckets");
        if (!list.is_array() || list.size() > MaximumBuckets) {
            fail("buckets is not a list of at most 4096 hashes");
        }
        SyncRequest body;
        for (const json &hash : list) {
            if (!hash.is_number_unsigned()) {
                fail("buckets has a hash that is not an unsigned integer");
            }
            body.buckets.push_back(hash.get<std::uint32_t>());
        }
        return body;
    }

    BundleReply bundleReply()
    {
        BundleReply body;
        const PlatformValue rollout = decodePlatformValue("rollout", m_fields.text("rollout", MaximumPeerMessageSize));
        body.rollout = std::get<RolloutRecord>(rollout);
        body.bundle = decodeBundle(parseJson(m_fields.text("bundle", MaximumPeerMessageSize), Step::PassOn, m_peer), m_peer);
        return body;
    }

    SearcherEntry searcherEntry(JsonFields &item)
    {
        SearcherEntry entry;
        entry.id = item.text("id", MaximumNameLength);
        entry.service = item.text("service", MaximumNameLength);
        entry.address = item.text("address", MaximumNameLength);
        entry.dataCentre = item.text("data_centre", std::string(), MaximumNameLength);
        entry.slots = static_cast<unsigned>(item.integer("slots", 1, MaximumSearcherSlots));
        entry.draining = item.flag("draining", false);
        entry.startedAtMs = item.integer("born_at", 0, UINT64_MAX);
        return entry;
    }

    TablesReply tablesReply()
    {
        TablesReply body;
        body.number = m_fields.integer("n", 0, UINT64_MAX, 0);
        body.document = m_fields.text("document", std::string(), MaximumPeerMessageSize);
        body.age = m_fields.milliseconds("age_ms", Duration::zero(), MaximumReportedDuration);
        body.configurationVersion = m_fields.integer("configuration_version", 0, UINT64_MAX, 0);
        body.searchersVersion = m_fields.integer("searchers_version", 0, UINT64_MAX, 0);
        body.withSearchers = m_fields.flag("with_searchers", true);
        for (JsonFields &item : m_fields.objects("searchers")) {
            SearcherEntry entry = searcherEntry(item);
            if (item.has("expires_ms")) {
                body.expiring[entry.id] = item.milliseconds("expires_ms", Duration::zero(), MaximumReportedDuration);
            }
            item.rejectUnknown();
            body.searchers.push_back(std::move(entry));
        }
        return body;
    }

    TablesUpdate tablesUpdate()
    {
        TablesUpdate body;
        body.configuration = m_fields.integer("configuration", 0, UINT64_MAX);
        body.configurationVersion = m_fields.integer("configuration_version", 0, UINT64_MAX);
        body.document = m_fields.text("document", std::string(), MaximumPeerMessageSize);
        body.from = m_fields.integer("from", 0, UINT64_MAX);
        body.upTo = m_fields.integer("up_to", 0, UINT64_MAX);
        body.to = m_fields.integer("to", 0, UINT64_MAX);
        body.grace = m_fields.milliseconds("grace_ms", Duration::zero(), MaximumReportedDuration);
        body.changes.removed = m_fields.texts("removed");
        for (JsonFields &item : m_fields.objects("entries")) {
            ReportedSearcher reported{searcherEntry(item), Duration::zero()};
            reported.coldFor = item.milliseconds("cold_ms", Duration::zero(), MaximumReportedDuration);
            item.rejectUnknown();
            body.changes.entries.push_back(std::move(reported));
        }
        return body;
    }

    TablesConfirmation tablesConfirmation()
    {
        TablesConfirmation body;
        body.number = m_fields.integer("n", 0, UINT64_MAX);
        body.held = m_fields.milliseconds("held_ms", Duration::zero(), MaximumReportedDuration);
        body.age = m_fields.milliseconds("age_ms", Duration::zero(), MaximumReportedDuration);
        body.configuration = m_fields.integer("configuration", 0, UINT64_MAX);
        body.configurationVersion = m_fields.integer("configuration_version", 0, UINT64_MAX);
        body.searchersVersion = m_fields.integer("searchers_version", 0, UINT64_MAX);
        body.changedVersion = m_fields.integer("changed_version", 0, UINT64_MAX);
        return body;
    }

    IndirectProbe indirectProbe()
    {
        IndirectProbe body;
        body.number = m_fields.integer("n", 0, UINT64_MAX);
        body.subject = m_fields.text("subject", MaximumNameLength);
        body.peerAddress = m_fields.text("peer_address", MaximumNameLength);
        return body;
    }

    PeerMessageBody body()
    {
        const std::string kind = m_fields.text("kind", MaximumNameLength);
        if (kind == "probe") {
            return Probe{m_fields.integer("n", 0, UINT64_MAX)};
        }
        if (kind == "probe_reply") {
            const std::uint64_t number = m_fields.integer("n", 0, UINT64_MAX);
            return ProbeReply{number, m_fields.text("subject", MaximumNameLength)};
        }
        if (kind == "indirect_probe") {
            return indirectProbe();
        }
        if (kind == "announcement") {
            return Announcement{m_fields.flag("reply_wanted", false)};
        }
        if (kind == "bundle_request") {
            return BundleRequest{};
        }
        if (kind == "bundle_reply") {
            return bundleReply();
        }
        if (kind == "shares_request") {
            return SharesRequest{};
        }
        if (kind == "shares_reply") {
            return SharesReply{decodeShares(m_fields.value("shares"), m_peer)};
        }
        if (kind == "sync_request") {
            return syncRequest();
        }
        if (kind == "tables_request") {
            const std::uint64_t number = m_fields.integer("n", 0, UINT64_MAX, 0);
            const std::uint64_t configuration = m_fields.integer("configuration", 0, UINT64_MAX);
            return TablesRequest{configuration, m_fields.flag("searchers", true), number};
        }
        if (kind == "tables_reply") {
            return tablesReply();
        }
        if (kind == "tables_update") {
            return tablesUpdate();
        }
        if (kind == "confirmation_request") {
            return ConfirmationRequest{m_fields.integer("n", 0, UINT64_MAX)};
        }
        if (kind == "tables_confirmation") {
            return tablesConfirmation();
        }
        if (kind == "sync_reply") {
            std::vector<MemberUpdate> members = updates("members");
            return SyncReply{std::move(members), m_fields.flag("more", false)};
        }
        fail("kind is " + kind + "; allowed: the message kinds of the peer protocol");
    }

    JsonFields m_fields;
    std::string m_peer;
};
}

std::string encodePeerMessage(const PeerMessage &message)
{
    json document = {
        {"self", encode(message.sender.self)},
        {"generation", message.sender.generation.value},
        {"shares_epoch", message.sender.sharesEpoch},
        {"updates", encode(message.updates)},
    };
    std::visit(BodyEncoder{document}, message.body);
    std::string bytes;
    json::to_cbor(document, bytes);
    return bytes;
}

PeerMessage decodePeerMessage(std::string_view bytes, const std::string &peer)
{
    if (bytes.size() > MaximumPeerMessageSize) {
        throw Error(Step::PassOn,
                    peer,
                    "a message of " + std::to_string(bytes.size()) + " bytes exceeds the limit of " + std::to_string(MaximumPeerMessageSize) + " bytes");
    }
    json document;
    try {
        document = json::from_cbor(bytes.begin(), bytes.end());
    } catch (const json::exception &error) {
        throw Error(Step::PassOn, peer, std::string("the message is not CBOR: ") + error.what());
    }
    return Decoder(document, peer).message();
}
}
