#include "platform/storecodec.h"
#include "quetzallift/edge/eventloop.h"
#include "quetzallift/edge/httpclient.h"
#include "tests/platform/soak/metadatastore.h"

#include <criterion/criterion.h>

#include <set>
#include <string>
#include <vector>

using namespace Quetzallift;
using nlohmann::json;

namespace
{
// A multiple of the store's page size, so that each of the first names of a page ends a page in one of the tests.
constexpr unsigned Searchers = 30;
// Only bounds the test.
constexpr Duration CallTimeout = std::chrono::seconds(20);

json searcherSpec()
{
    return {{"service", "s"}, {"address", "10.0.0.1:80"}, {"zone", "a"}, {"slots", 2}, {"state", "ready"}, {"born", 17}};
}

// What a host learns from a list of the searchers.
struct Listed {
    std::set<std::string> searchers;
    unsigned unusable = 0;
    bool complete = false;
};

// The store on a loopback address, and calls to it through the codec and the HTTP client of the product.
struct ListedStore {
    explicit ListedStore(const std::string &storeAddress)
        : address(storeAddress)
        , store(loop, storeAddress, 1)
        , client(loop)
    {
        for (unsigned number = 100; number < 100 + Searchers; ++number) {
            store.put("servers", "i-" + std::to_string(number), searcherSpec());
        }
    }

    PlatformReply call(PlatformRequest request)
    {
        request.timeout = CallTimeout;
        const PlatformCodec codec = Platform::storeCodec();
        PlatformReply reply;
        client.send(codec.encode(address, request), [&](const HttpResult &result) {
            reply = codec.decode(request, result);
            loop.stop();
        });
        loop.reactor().reset_reactor_event_loop();
        loop.run();
        return reply;
    }

    // Reads page after page, as a host does.
    Listed list()
    {
        constexpr unsigned MaximumPages = 50;
        Listed listed;
        PlatformRequest request;
        request.verb = PlatformVerb::ListSearchers;
        for (unsigned number = 0; number < MaximumPages; ++number) {
            const PlatformReply reply = call(request);
            const auto *page = std::get_if<SearcherPage>(&reply.value);
            if (reply.outcome != PlatformOutcome::Applied || page == nullptr) {
                return listed;
            }
            for (const ReportedSearcher &reported : page->entries) {
                listed.searchers.insert(reported.entry.id);
            }
            listed.unusable += static_cast<unsigned>(page->unusable.size());
            request.object = page->lastName;
            if (!page->more) {
                listed.complete = true;
                return listed;
            }
        }
        return listed;
    }

    EventLoop loop;
    std::string address;
    Soak::MetadataStore store;
    HttpClient client;
};
}

// Guards against a list of searchers that cannot be continued after an entry whose name has characters with a meaning in URLs:
// the host repeated a page without end, skipped entries, or could not send the call, and served no request after a restart.
Test(storelist, namesOfEntriesDoNotStopTheList)
{
    ListedStore store("127.0.0.1:19941");
    for (int byte = 1; byte < 128; ++byte) {
        for (const std::string &before : {std::string(), std::string("i-100")}) {
            // Of the names that share a beginning, one ends a page.
            for (unsigned count = 0; count < 10; ++count) {
                store.store.put("servers", before + std::string(1, static_cast<char>(byte)) + "odd" + std::to_string(count), {{"state", "unknown"}});
            }
            const Listed listed = store.list();
            cr_assert(listed.complete, "the list does not end beside names with the byte %d", byte);
            cr_assert_eq(listed.searchers.size(), Searchers, "%zu searchers beside names with the byte %d", listed.searchers.size(), byte);
            for (unsigned count = 0; count < 10; ++count) {
                store.store.remove("servers", before + std::string(1, static_cast<char>(byte)) + "odd" + std::to_string(count));
            }
        }
    }
}

// Guards against an entry of this host that is written, replaced or deleted under another name than its own.
Test(storelist, namesOfHostsReachTheStoreUnchanged)
{
    ListedStore store("127.0.0.1:19943");
    for (const std::string &name : std::vector<std::string>{"a b", "a/b", "a?b=c", "a#b", "a%41", "a+b", "a&b", "..", "\xc3\xa9"}) {
        PlatformRequest request;
        request.verb = PlatformVerb::CreateHost;
        request.object = name;
        request.value = ListedHost{name, "10.0.0.1:80", "10.0.0.1:81", "a", false};
        const PlatformReply created = store.call(request);
        cr_assert(created.outcome == PlatformOutcome::Applied && store.store.holds("quetzallift-hosts", name), "%s", name.c_str());
        request.verb = PlatformVerb::UpdateHost;
        request.version = created.version;
        request.value = ListedHost{name, "10.0.0.1:82", "10.0.0.1:83", "a", false};
        const PlatformReply updated = store.call(request);
        cr_assert(updated.outcome == PlatformOutcome::Applied && updated.version > created.version, "%s", name.c_str());
        request.verb = PlatformVerb::DeleteHost;
        request.version = updated.version;
        cr_assert(store.call(request).outcome == PlatformOutcome::Applied, "%s", name.c_str());
        cr_assert_not(store.store.holds("quetzallift-hosts", name), "%s", name.c_str());
    }
}
