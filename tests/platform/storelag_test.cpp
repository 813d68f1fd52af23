#include "platform/storecodec.h"
#include "tests/control/discoveryfixture.h"

#include <algorithm>

using namespace Quetzallift;

namespace
{
constexpr Duration StoreDelay = std::chrono::milliseconds(4);
constexpr std::uint64_t FirstRevision = 5;
// The most events in one reply of the store.
constexpr std::uint64_t MaximumEvents = 500;

// A host that watches a store in which searchers change at a constant rate.
struct ChangingStore : DiscoveryFixture {
    double changesPerSecond;
    TimePoint begin;

    explicit ChangingStore(double rate)
        : changesPerSecond(rate)
    {
        answerInitialReads({"x", "y", "z"});
        begin = now;
    }

    std::uint64_t revisionAt(TimePoint at) const
    {
        const double seconds = std::chrono::duration<double>(std::max(at - begin, Duration::zero())).count();
        return FirstRevision + static_cast<std::uint64_t>(seconds * changesPerSecond);
    }

    // The store's reply to a watch of the searchers, composed now.
    PlatformReply reply(const PlatformRequest &request) const
    {
        const std::uint64_t last = std::min(revisionAt(now), request.version + MaximumEvents);
        std::string body = R"({"as-of":)" + std::to_string(last) + R"(,"events":[)";
        for (std::uint64_t revision = request.version + 1; revision <= last; ++revision) {
            const std::string name = "i-" + std::to_string(revision % 1000);
            body += std::string(revision == request.version + 1 ? "" : ",") + R"({"deleted":false,"object":{"meta":{"name":")" + name + R"(","revision":)"
                    + std::to_string(revision) + R"(},"spec":{"service":"s","address":"10.0.0.1:80","zone":"a","slots":2,"state":"ready","born":)"
                    + std::to_string(revision) + "}}}";
        }
        HttpResult result;
        result.outcome = HttpOutcome::Responded;
        result.status = 200;
        result.body = body + "]}";
        return Platform::storeCodec().decode(request, result);
    }

    // Answers the pending watch, or fires the timer that starts the next one.
    void step()
    {
        const auto watch = std::find_if(calls.begin(), calls.end(), [](const CallPlatform &call) {
            return call.request.verb == PlatformVerb::WatchSearchers;
        });
        if (watch == calls.end()) {
            fire(TimerKind::SearchersRead);
            return;
        }
        const CallPlatform call = *watch;
        calls.erase(watch);
        // A watch without a change waits for one.
        const TimePoint end = now + call.request.timeout;
        while (revisionAt(now) == call.request.version && now < end) {
            now += std::chrono::milliseconds(1);
        }
        PlatformReply composed = reply(call.request);
        now += StoreDelay;
        apply(PlatformReplied{call.call, std::move(composed)});
    }
};
}

// Guards against requests to searchers that left seconds ago: a reply with as many changes as the store sends at once was taken for
// the present state, so that a host fell behind while many searchers changed, and said that its searchers were up to date.
Test(storelag, searchersAreAsNewAsTheHostSays)
{
    ChangingStore store(1200);
    while (store.now < store.begin + std::chrono::seconds(15)) {
        store.step();
        const DiscoveryState &discovery = store.state.control.discovery;
        cr_assert_geq(discovery.searchersVersion, store.revisionAt(*discovery.searchersReadAt));
        cr_assert_geq(discovery.searchersVersion, store.revisionAt(store.now - std::chrono::seconds(2)));
    }
}
