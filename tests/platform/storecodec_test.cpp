#include "platform/routesdecoder.h"
#include "platform/storecodec.h"
#include "quetzallift/edge/peercodec.h"
#include "quetzallift/model/error.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

using namespace Quetzallift;

namespace
{
HttpResult responded(long status, const std::string &body)
{
    HttpResult result;
    result.outcome = HttpOutcome::Responded;
    result.status = status;
    result.body = body;
    return result;
}

PlatformReply decode(PlatformVerb verb, const HttpResult &result)
{
    PlatformRequest request;
    request.verb = verb;
    return Platform::storeCodec().decode(request, result);
}

const std::string Ready = R"({"service":"s","address":"10.0.0.1:80","zone":"a","slots":2,"state":"ready","cold-remaining-ms":1500,"born":17})";

std::string object(const std::string &name, const std::string &spec)
{
    return R"({"meta":{"name":")" + name + R"(","revision":5,"deleting":false},"spec":)" + spec + "}";
}

// The reply to a list that starts after the given name and has more pages.
PlatformReply decodePageAfter(const std::string &name, const std::string &items)
{
    PlatformRequest request;
    request.verb = PlatformVerb::ListSearchers;
    request.object = name;
    return Platform::storeCodec().decode(request, responded(200, R"({"items":[)" + items + R"(],"has-more":true,"as-of":9})"));
}

// The searchers that other hosts read from the changes and tables that a host sends them; throws Error if they cannot read one.
std::size_t readByPeers(const SearcherPage &page)
{
    PeerMessage message;
    message.sender.self = {"peer", {1, 0}, MemberStatus::Live, false, "10.0.0.3:80", "10.0.0.3:81", "a", {}};
    TablesUpdate update;
    update.changes = page;
    message.body = update;
    const PeerMessage changes = decodePeerMessage(encodePeerMessage(message), "peer");
    TablesReply reply;
    for (const ReportedSearcher &reported : page.entries) {
        reply.searchers.push_back(reported.entry);
    }
    message.body = reply;
    const PeerMessage tables = decodePeerMessage(encodePeerMessage(message), "peer");
    cr_assert_eq(std::get<TablesReply>(tables.body).searchers.size(), page.entries.size());
    return std::get<TablesUpdate>(changes.body).changes.entries.size();
}
}

// Guards against a reply that was cut at the store's limit and is taken for all changes.
Test(storecodec, longRepliesToWatchesMayBePartial)
{
    const auto events = [](std::size_t count) {
        std::string body = R"({"as-of":9,"events":[)";
        for (std::size_t number = 0; number < count; ++number) {
            body += (number == 0 ? "" : ",") + std::string(R"({"deleted":false,"object":)") + object("x" + std::to_string(number), Ready) + "}";
        }
        return responded(200, body + "]}");
    };
    cr_assert(decode(PlatformVerb::WatchSearchers, events(500)).partial);
    cr_assert_not(decode(PlatformVerb::WatchSearchers, events(2)).partial);
    cr_assert_not(decode(PlatformVerb::WatchSearchers, events(2)).unchanged);
    cr_assert(decode(PlatformVerb::WatchSearchers, events(0)).unchanged);
}

// Guards against a route that loses one of its limits on the way into the product.
Test(storecodec, routesKeepEveryField)
{
    const RouteTablePtr table = Platform::decodeRoutes(
        R"({"version":7,"routes":[
            {"name":"r1","hostname":"h","path-prefix":"/a/","route-type":"idempotent","timeout-ms":800,"target-latency-ms":100,
             "priority":2,"fan-out":["s0","s1"],"max-attempts":2,"top-k":5,"min-shard-ratio":0.75,"new-field":1},
            {"name":"r2","hostname":"h","path-prefix":"/b/","route-type":"non_idempotent","timeout-ms":900,
             "traffic-split":[{"service":"x","weight":3},{"service":"y","weight":1}]}],
            "services":[{"name":"s0","connection-limit":26}]})",
        "test");
    cr_assert_eq(table->version, 7U);
    const Route &scattered = *table->match("H:80", "/a/x");
    cr_assert(scattered.idempotent && scattered.scattered());
    cr_assert_eq(scattered.recordLimit, 5U);
    cr_assert(scattered.minimumCoverage == 0.75 && scattered.maxAttempts == 2 && scattered.priority == 2);
    cr_assert(scattered.timeout == std::chrono::milliseconds(800) && scattered.targetLatency == std::chrono::milliseconds(100));
    const Route &split = *table->match("h", "/b/");
    cr_assert(!split.idempotent && split.split.size() == 2 && split.split[0].weight == 3.0);
    cr_assert_eq(table->services.at("s0").connectionLimit, 26U);
}

// Guards against a request of an unknown kind that is repeated.
Test(storecodec, unknownKindsRunOnce)
{
    const RouteTablePtr table =
        Platform::decodeRoutes(R"({"version":1,"routes":[{"name":"r","hostname":"h","path-prefix":"/","timeout-ms":1,"service":"s"}]})", "test");
    cr_assert(!table->routes.at(0).idempotent);
}

// Guards against a broken document that stops the control thread, or that is half adopted.
Test(storecodec, brokenRoutesNameTheField)
{
    try {
        Platform::decodeRoutes(R"({"version":1,"routes":[{"name":"r","hostname":"h","path-prefix":"/","timeout-ms":"soon","service":"s"}]})", "store");
        cr_assert_fail("a time-out that is no number was accepted");
    } catch (const Error &error) {
        cr_assert(std::string(error.what()).find("routes[0].timeout-ms") != std::string::npos);
    }
}

// Guards against one unreadable entry that hides the searchers beside it.
Test(storecodec, unusableEntriesLeaveTheOthers)
{
    const std::string items = object("i-1", Ready) + "," + object("i-2", R"({"service":"s"})") + "," + object("i-3", R"("bytes")");
    const PlatformReply reply = decode(PlatformVerb::ListSearchers, responded(200, R"({"items":[)" + items + R"(],"has-more":false,"as-of":9})"));
    const auto &page = std::get<SearcherPage>(reply.value);
    cr_assert(reply.outcome == PlatformOutcome::Applied && reply.version == 9);
    cr_assert_eq(page.entries.size(), 1U);
    cr_assert_eq(page.unusable.size(), 2U);
    const ReportedSearcher &searcher = page.entries.at(0);
    cr_assert(searcher.entry.id == "i-1" && searcher.entry.startedAtMs == 17 && !searcher.entry.draining);
    cr_assert(searcher.coldFor == std::chrono::milliseconds(1500));
}

// Guards against one odd entry that makes the whole list or all changes unreadable: hosts stopped following the searchers, or
// ended.
Test(storecodec, oddEntriesLeaveTheOthers)
{
    const std::string deep = std::string(100000, '[') + std::string(100000, ']');
    const std::string withDepth = R"({"service":)" + deep + R"(,"address":"10.0.0.1:80","zone":"a","slots":2,"state":"ready"})";
    const auto withSlots = [](const std::string &slots) {
        return R"({"service":"s","address":"10.0.0.1:80","zone":"a","state":"ready","slots":)" + slots + "}";
    };
    const auto withAddress = [](const std::string &address) {
        return R"({"service":"s","zone":"a","state":"ready","slots":2,"address":")" + address + R"("})";
    };
    for (const std::string &odd : {withDepth,
                                   withSlots("1e999"),
                                   withSlots("-1e999"),
                                   withSlots("123456789012345678901234567890"),
                                   withSlots(std::string(1000, '9')),
                                   withAddress("10.0.0.1:65536"),
                                   withAddress("10.0.0.1:99999999999999999999"),
                                   withAddress("10.0.0.1:-1"),
                                   withAddress("\xff\xfe"),
                                   deep,
                                   std::string("null")}) {
        const std::string items = object("i-1", Ready) + "," + object("i-2", odd) + "," + object("i-3", Ready);
        const PlatformReply list = decode(PlatformVerb::ListSearchers, responded(200, R"({"items":[)" + items + R"(],"has-more":false,"as-of":9})"));
        cr_assert(list.outcome == PlatformOutcome::Applied, "%.200s", list.detail.c_str());
        const auto &page = std::get<SearcherPage>(list.value);
        cr_assert_eq(page.entries.size(), 2U);
        cr_assert(page.removed == std::vector<std::string>{"i-2"});
        const std::string events = R"({"deleted":false,"object":)" + object("i-2", odd) + R"(},{"deleted":false,"object":)" + object("i-3", Ready) + "}";
        const PlatformReply changes = decode(PlatformVerb::WatchSearchers, responded(200, R"({"events":[)" + events + R"(],"as-of":12})"));
        cr_assert(changes.outcome == PlatformOutcome::Applied);
        cr_assert_eq(std::get<SearcherPage>(changes.value).entries.size(), 1U);
        cr_assert(std::get<SearcherPage>(changes.value).removed == std::vector<std::string>{"i-2"});
    }
}

// Guards against a searcher that stays in use although its entry turned into one that cannot be read.
Test(storecodec, lastEventOfANameDecides)
{
    const std::string events = R"({"deleted":true,"object":)" + object("i-1", Ready) + R"(},{"deleted":false,"object":)" + object("i-1", Ready)
                               + R"(},{"deleted":false,"object":)" + object("i-2", R"({"state":"odd"})") + "}";
    const PlatformReply reply = decode(PlatformVerb::WatchSearchers, responded(200, R"({"events":[)" + events + R"(],"as-of":12})"));
    const auto &page = std::get<SearcherPage>(reply.value);
    cr_assert_eq(page.entries.size(), 1U);
    cr_assert(page.removed == std::vector<std::string>{"i-2"});
}

// Guards against a lost history, a refused call or an unreadable reply that passes for an empty one.
Test(storecodec, failuresAreNoEmptyReplies)
{
    cr_assert(decode(PlatformVerb::WatchSearchers, responded(410, "")).outcome == PlatformOutcome::NotApplied);
    cr_assert(decode(PlatformVerb::ListSearchers, responded(503, "")).outcome == PlatformOutcome::Unknown);
    cr_assert(decode(PlatformVerb::ListSearchers, responded(429, "")).outcome == PlatformOutcome::Unknown);
    cr_assert(decode(PlatformVerb::ListSearchers, responded(200, "{")).outcome == PlatformOutcome::Unknown);
    cr_assert(decode(PlatformVerb::ReadConfiguration, HttpResult{}).outcome == PlatformOutcome::Unknown);
}

// Guards against a restarted host that cannot replace the entry of its earlier process.
Test(storecodec, conflictTellsTheVersionToReplace)
{
    const PlatformReply reply = decode(PlatformVerb::CreateHost, responded(409, object("host", "{}")));
    cr_assert(reply.outcome == PlatformOutcome::NotApplied && reply.version == 5);
}

// Guards against values that a lenient writer encodes, and that make all entries of a reply unreadable.
Test(storecodec, entriesThatAreNoValidJsonLeaveTheOthers)
{
    for (const std::string &value : std::vector<std::string>{
             "NaN", "Infinity", "-Infinity", "\"\\ud800\"", "\"\\udc00x\"", "\"\\x41\"", "\"a\tb\"", "\"a\nb\"", "-", "01", "1.", "True", "nul"}) {
        const std::string odd = R"({"service":"s","address":"10.0.0.1:80","zone":"a","state":"ready","slots":)" + value + "}";
        const std::string items = object("i-1", Ready) + "," + object("i-2", odd) + "," + object("i-3", Ready);
        const PlatformReply list = decode(PlatformVerb::ListSearchers, responded(200, R"({"items":[)" + items + R"(],"has-more":false,"as-of":9})"));
        cr_assert(list.outcome == PlatformOutcome::Applied, "%s: %s", value.c_str(), list.detail.c_str());
        cr_assert_eq(std::get<SearcherPage>(list.value).entries.size(), 2U, "%s", value.c_str());
        const std::string events = R"({"deleted":false,"object":)" + object("i-2", odd) + R"(},{"deleted":false,"object":)" + object("i-3", Ready) + "}";
        const PlatformReply changes = decode(PlatformVerb::WatchSearchers, responded(200, R"({"events":[)" + events + R"(],"as-of":12})"));
        cr_assert(changes.outcome == PlatformOutcome::Applied, "%s: %s", value.c_str(), changes.detail.c_str());
        cr_assert_eq(std::get<SearcherPage>(changes.value).entries.size(), 1U, "%s", value.c_str());
    }
}

// Guards against a list that starts again, skips searchers or ends because the last item of a page has no usable name.
Test(storecodec, pagesLeadToLaterOnes)
{
    const std::string before = object("i-5", Ready) + "," + object("i-6", Ready) + ",";
    for (const std::string &last : {std::string("null"),
                                    std::string("[]"),
                                    std::string("{}"),
                                    std::string(R"({"meta":null,"spec":{}})"),
                                    std::string(R"({"meta":{"name":7},"spec":{}})"),
                                    object("", Ready),
                                    object("a-1", Ready),
                                    object("i-4", Ready),
                                    object("i-6\xff", Ready),
                                    object("i-6\\ud800", Ready),
                                    object("i-6" + std::string(1000000, 'x'), Ready)}) {
        const PlatformReply reply = decodePageAfter("i-4", before + last);
        cr_assert(reply.outcome == PlatformOutcome::Applied, "%.200s", last.c_str());
        const auto &page = std::get<SearcherPage>(reply.value);
        cr_assert(page.more && page.lastName == "i-6", "%.200s leads to %.200s", last.c_str(), page.lastName.c_str());
    }
}

// Guards against calls without end to read a list that cannot be continued.
Test(storecodec, pagesWithoutAUsableNameAreFailures)
{
    const PlatformReply reply = decodePageAfter("i-4", "null," + object("i-3", Ready));
    cr_assert(reply.outcome == PlatformOutcome::Unknown);
    cr_assert(reply.detail.find("i-4") != std::string::npos, "%s", reply.detail.c_str());
}

// Guards against a list of another type that passes for one without searchers, so that a host drops all it knows.
Test(storecodec, itemsThatAreNoListAreAFailure)
{
    for (const std::string &items : std::vector<std::string>{"null", "{}", "7", "\"\""}) {
        const HttpResult result = responded(200, R"({"items":)" + items + R"(,"has-more":false,"as-of":9})");
        cr_assert(decode(PlatformVerb::ListSearchers, result).outcome == PlatformOutcome::Unknown, "%s", items.c_str());
        cr_assert(decode(PlatformVerb::ReadHosts, result).outcome == PlatformOutcome::Unknown, "%s", items.c_str());
    }
}

// Guards against one event that cannot be read and hides the others: the host repeated the watch without end.
Test(storecodec, oddEventsLeaveTheOthers)
{
    for (const std::string &odd : {std::string("null"),
                                   std::string("7"),
                                   std::string("[]"),
                                   std::string("{}"),
                                   std::string(R"({"deleted":true})"),
                                   std::string(R"({"deleted":false,"object":null})"),
                                   std::string(R"({"deleted":false,"object":{"meta":[]}})"),
                                   R"({"deleted":"yes","object":)" + object("i-2", Ready) + "}"}) {
        const std::string good = R"({"deleted":false,"object":)" + object("i-3", Ready) + "}";
        const PlatformReply searchers = decode(PlatformVerb::WatchSearchers, responded(200, R"({"events":[)" + odd + "," + good + R"(],"as-of":12})"));
        cr_assert(searchers.outcome == PlatformOutcome::Applied, "%s: %s", odd.c_str(), searchers.detail.c_str());
        const auto &page = std::get<SearcherPage>(searchers.value);
        cr_assert(page.entries.size() == 1 && page.entries.at(0).entry.id == "i-3", "%s", odd.c_str());
        cr_assert(searchers.version == 12 && !searchers.unchanged);
        const std::string main = R"({"deleted":false,"object":)" + object("main", R"({"version":7,"routes":[],"services":[]})") + "}";
        const PlatformReply configuration = decode(PlatformVerb::WatchConfiguration, responded(200, R"({"events":[)" + odd + "," + main + R"(],"as-of":12})"));
        cr_assert(configuration.outcome == PlatformOutcome::Applied, "%s: %s", odd.c_str(), configuration.detail.c_str());
        const auto *routes = std::get_if<RouteTablePtr>(&configuration.value);
        cr_assert(routes != nullptr && (*routes)->version == 7, "%s", odd.c_str());
    }
}

// Guards against a searcher without a name, and against a name that would add headers to the requests to a searcher.
Test(storecodec, idsThatDoNotFitAHeaderNameNoSearcher)
{
    for (const std::string &name : {std::string(),
                                    std::string("i-1\\r\\nX-Odd: 1"),
                                    std::string("i-1\\u0000"),
                                    std::string("\\u007f"),
                                    std::string(" i-1"),
                                    std::string("i-1 "),
                                    std::string("\xc3\xa9")}) {
        const std::string items = object(name, Ready) + "," + object("i-3", Ready);
        const PlatformReply list = decode(PlatformVerb::ListSearchers, responded(200, R"({"items":[)" + items + R"(],"has-more":false,"as-of":9})"));
        cr_assert(list.outcome == PlatformOutcome::Applied);
        const auto &page = std::get<SearcherPage>(list.value);
        cr_assert(page.entries.size() == 1 && page.entries.at(0).entry.id == "i-3", "%s", name.c_str());
        cr_assert_eq(page.unusable.size(), 1U);
    }
}

// Guards against log lines of a megabyte for an entry with a long name.
Test(storecodec, errorsOfEntriesAreShort)
{
    const std::string items = object(std::string(1000000, 'x'), R"({"service":7})");
    const PlatformReply list = decode(PlatformVerb::ListSearchers, responded(200, R"({"items":[)" + items + R"(],"has-more":false,"as-of":9})"));
    const auto &page = std::get<SearcherPage>(list.value);
    cr_assert_eq(page.unusable.size(), 1U);
    cr_assert_lt(page.unusable.at(0).size(), 1000U);
}

// Guards against names that no searcher can have in the messages for other hosts, which are limited in size.
Test(storecodec, removalsThatConcernNoSearcherAreNotPassedOn)
{
    const std::string longName(1000000, 'x');
    const std::string events = R"({"deleted":true,"object":)" + object(longName, "null") + R"(},{"deleted":false,"object":)" + object("odd\\n", "null")
                               + R"(},{"deleted":true,"object":)" + object("i-1", "null") + "}";
    const PlatformReply changes = decode(PlatformVerb::WatchSearchers, responded(200, R"({"events":[)" + events + R"(],"as-of":12})"));
    cr_assert(changes.outcome == PlatformOutcome::Applied);
    cr_assert(std::get<SearcherPage>(changes.value).removed == std::vector<std::string>{"i-1"});
}

// Guards against one entry for which other hosts cannot read the searchers that this host passes on.
Test(storecodec, acceptedEntriesCanBePassedOn)
{
    const auto entry = [](const std::string &name, const std::string &service, const std::string &zone, const std::string &slots) {
        return object(name, R"({"service":")" + service + R"(","address":"10.0.0.1:80","zone":")" + zone + R"(","state":"ready","slots":)" + slots + "}");
    };
    const std::string longText(300, 'x');
    for (const std::string &odd :
         {entry("i-2", "s", "a", "100000"),
          entry("i-2", "s", "a", "100001"),
          entry("i-2", "s", "a", "1000000"),
          entry("i-2", "s", longText, "2"),
          entry("i-2", longText, "a", "2"),
          entry(longText, "s", "a", "2"),
          entry(std::string(256, 'x'), "s", "a", "2"),
          entry("", "s", "a", "2"),
          object("i-2", R"({"service":"s","zone":"a","state":"ready","slots":2,"address":"10.0.0.1:)" + std::string(300, '0') + R"(80"})")}) {
        const std::string items = object("i-1", Ready) + "," + odd + "," + object("i-3", Ready);
        const PlatformReply list = decode(PlatformVerb::ListSearchers, responded(200, R"({"items":[)" + items + R"(],"has-more":false,"as-of":9})"));
        cr_assert(list.outcome == PlatformOutcome::Applied);
        const auto &page = std::get<SearcherPage>(list.value);
        cr_assert_geq(page.entries.size(), 2U);
        try {
            cr_assert_eq(readByPeers(page), page.entries.size());
        } catch (const Error &error) {
            cr_assert_fail("%.200s: %.200s", odd.c_str(), error.what());
        }
    }
}

// Guards against an entry in the list of hosts that names no host and is passed on: other hosts cannot read messages with it.
Test(storecodec, oddHostEntriesLeaveTheOthers)
{
    const auto host = [](const std::string &name, const std::string &address, const std::string &peerAddress) {
        return object(name, R"({"address":")" + address + R"(","peer_address":")" + peerAddress + R"(","data_centre":"a"})");
    };
    const std::string good = host("h-1", "10.0.0.1:80", "10.0.0.1:81");
    for (const std::string &odd : {std::string("null"),
                                   std::string("{}"),
                                   object("h-2", "null"),
                                   object("h-2", R"({"address":7})"),
                                   host("", "10.0.0.1:80", "10.0.0.1:81"),
                                   host(std::string(300, 'x'), "10.0.0.1:80", "10.0.0.1:81"),
                                   host("h-2", "somewhere", "10.0.0.1:81"),
                                   host("h-2", "10.0.0.1:80", "10.0.0.1:0")}) {
        const PlatformReply reply = decode(PlatformVerb::ReadHosts, responded(200, R"({"items":[)" + odd + "," + good + R"(],"has-more":false,"as-of":9})"));
        cr_assert(reply.outcome == PlatformOutcome::Applied, "%.200s", odd.c_str());
        const auto &hosts = std::get<HostListRecord>(reply.value).hosts;
        cr_assert(hosts.size() == 1 && hosts.at(0).name == "h-1", "%.200s", odd.c_str());
    }
}

// Guards against a host that cannot replace the entry under its name because another program wrote bytes there that cannot be
// read.
Test(storecodec, conflictWithAnUnreadableEntryTellsTheVersion)
{
    for (const std::string &spec : {std::string("\"\xff\""), std::string("NaN"), std::string("1e999"), std::string(100000, '[') + std::string(100000, ']')}) {
        const PlatformReply reply = decode(PlatformVerb::CreateHost, responded(409, object("host", spec)));
        cr_assert(reply.outcome == PlatformOutcome::NotApplied && reply.version == 5, "%.50s: %s", spec.c_str(), reply.detail.c_str());
    }
}

// Guards against a reply that is no answer in the protocol and passes for an empty list.
Test(storecodec, statusZeroIsAFailure)
{
    cr_assert(decode(PlatformVerb::ListSearchers, responded(0, R"({"items":[],"as-of":9})")).outcome == PlatformOutcome::Unknown);
}
