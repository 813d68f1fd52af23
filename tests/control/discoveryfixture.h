#pragma once

#include "quetzallift/core/event.h"
#include "quetzallift/core/reduce.h"
#include "quetzallift/core/state.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

namespace Quetzallift
{
// The control state of a host that reads the metadata store; tests supply the replies and fire the timers.
struct DiscoveryFixture {
    State state;
    TimePoint now = TimePoint(std::chrono::hours(1));
    std::vector<CallPlatform> calls;
    std::vector<StartTimer> timers;
    ControlSnapshotPtr published;
    // All messages to peers, those of broadcasts too.
    std::vector<SendPeerMessage> messages;
    std::vector<BroadcastPeerMessage> broadcasts;

    DiscoveryFixture()
    {
        state.control.self.name = "host";
        state.control.self.address = "10.0.0.1:80";
        state.control.self.peerAddress = "10.0.0.1:81";
        state.control.discovery.enabled = true;
        state.hooks.parseRoutes = [](const std::string &document) {
            return routes(std::stoull(document));
        };
        apply(Started{});
    }

    static RouteTablePtr routes(std::uint64_t version)
    {
        RefPtr<RouteTable> table(new RouteTable);
        table->version = version;
        table->document = std::to_string(version);
        return table;
    }

    static SearcherPage page(const std::vector<std::string> &ids)
    {
        SearcherPage page;
        for (const std::string &id : ids) {
            page.entries.push_back({{id, "s", "10.0.0.2:80", "a", 2, false, {}, 1}, Duration::zero()});
        }
        return page;
    }

    void apply(EventBody event)
    {
        for (const Effect &effect : reduce(state, Event{now, std::move(event)})) {
            if (const auto *call = std::get_if<CallPlatform>(&effect)) {
                calls.push_back(*call);
            } else if (const auto *timer = std::get_if<StartTimer>(&effect)) {
                timers.push_back(*timer);
            } else if (const auto *snapshot = std::get_if<PublishControlSnapshot>(&effect)) {
                published = snapshot->snapshot;
            } else if (const auto *message = std::get_if<SendPeerMessage>(&effect)) {
                messages.push_back(*message);
            } else if (const auto *broadcast = std::get_if<BroadcastPeerMessage>(&effect)) {
                broadcasts.push_back(*broadcast);
                for (const std::string &address : broadcast->addresses) {
                    messages.push_back({address, broadcast->message});
                }
            }
        }
    }

    // Answers the most recent pending call with the given verb.
    void answer(PlatformVerb verb, PlatformOutcome outcome, std::uint64_t version, PlatformValue value = {})
    {
        answer(verb, PlatformReply{outcome, version, std::move(value), {}});
    }

    void answer(PlatformVerb verb, PlatformReply reply)
    {
        for (auto call = calls.rbegin(); call != calls.rend(); ++call) {
            if (call->request.verb == verb) {
                const PlatformCallId id = call->call;
                calls.erase(std::next(call).base());
                apply(PlatformReplied{id, std::move(reply)});
                return;
            }
        }
        cr_assert_fail("no pending call with the given verb");
    }

    // Fires the most recently started timer of a kind and advances the time to its expiry.
    void fire(TimerKind kind)
    {
        for (auto timer = timers.rbegin(); timer != timers.rend(); ++timer) {
            if (timer->timer.kind == kind) {
                now = std::max(now, timer->at);
                apply(TimerFired{timer->timer});
                return;
            }
        }
        cr_assert_fail("no timer of the given kind was started");
    }

    void answerInitialReads(const std::vector<std::string> &ids)
    {
        answer(PlatformVerb::ReadConfiguration, PlatformOutcome::Applied, 4, routes(3));
        answer(PlatformVerb::ListSearchers, PlatformOutcome::Applied, 5, page(ids));
    }

    bool hasSearcher(const std::string &id) const
    {
        return published && published->searchers && published->searchers->entries.contains(id);
    }
};
}
