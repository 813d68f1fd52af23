#pragma once

#include "quetzallift/core/event.h"
#include "quetzallift/core/reduce.h"
#include "quetzallift/core/state.h"

#include <vector>

namespace Quetzallift
{
// A traffic thread's reducer with one back end "data", whose shards all have the same number of replicas, and a record of
// its sub-requests and answers.
class QueryFixture
{
public:
    QueryFixture(std::size_t shards, std::size_t replicas, DeadlinePreference preference = DeadlinePreference::Latency)
    {
        // Without limits every sub-request is sent immediately and every query is admitted; limits have separate tests.
        m_state.hooks.searcherWindow = unlimitedWindow;
        m_state.hooks.queryLimit = unlimitedQueries;
        m_state.hooks.meetsDeadline = ignoreDeadline;
        m_bundle = RefPtr<Bundle>(new Bundle);
        BackEnd backEnd;
        backEnd.name = "data";
        backEnd.policy.preference = preference;
        Layout layout{{1}, {}};
        for (std::size_t shard = 0; shard < shards; ++shard) {
            layout.shards.push_back({{shard}, 1, {}});
            for (std::size_t replica = 0; replica < replicas; ++replica) {
                const std::string address = "s" + std::to_string(shard) + "r" + std::to_string(replica);
                backEnd.searchers[address] = Searcher{address, "kingston-a", 2, 25, Duration::zero()};
                layout.shards.back().replicas.push_back(address);
            }
        }
        backEnd.layouts.push_back(layout);
        m_bundle->backEnds["data"] = backEnd;
        m_bundle->callers["guide"] = CallerPolicy{"guide", 1.0, {}};
        publish();
    }

    // Applies the bundle to the reducer as a new control snapshot.
    void publish()
    {
        RefPtr<ControlSnapshot> control(new ControlSnapshot);
        control->generation = {1};
        control->bundle = m_bundle;
        for (const auto &[address, searcher] : m_bundle->backEnds["data"].searchers) {
            control->connectionShares[address] = searcher.connectionLimit;
        }
        apply(ControlSnapshotPublished{control});
    }

    void apply(EventBody body)
    {
        const Effects effects = reduce(m_state, Event{m_now, std::move(body)});
        for (const Effect &effect : effects) {
            record(effect);
        }
    }

    void advance(Duration time)
    {
        m_now += time;
    }

    QueryRequest request() const
    {
        QueryRequest request;
        request.requestId = "r1";
        request.caller = "guide";
        request.backEnd = "data";
        request.key = "pass";
        return request;
    }

    void arrive(QueryId query)
    {
        apply(QueryArrived{query, request()});
    }

    SubReply okReply(const SendSubRequest &sent) const
    {
        SubReply reply;
        reply.requestId = sent.request.requestId;
        reply.attempt = sent.attempt;
        reply.shard = sent.request.shard;
        reply.snapshot = sent.request.snapshot;
        reply.rows = {{sent.request.key, "shard " + std::to_string(sent.request.shard.value)}};
        reply.oldestSnapshot = {1};
        reply.newestSnapshot = sent.request.snapshot;
        return reply;
    }

    void replyOk(const SendSubRequest &sent)
    {
        apply(SubReplyArrived{sent.attempt, okReply(sent)});
    }

    const std::vector<SendSubRequest> &sent() const
    {
        return m_sent;
    }

    const std::vector<SendAnswer> &answers() const
    {
        return m_answers;
    }

    const Effects &effects() const
    {
        return m_effects;
    }

    State &state()
    {
        return m_state;
    }

    Bundle &bundle()
    {
        return *m_bundle;
    }

    TimePoint now() const
    {
        return m_now;
    }

private:
    void record(const Effect &effect)
    {
        m_effects.push_back(effect);
        if (const auto *send = std::get_if<SendSubRequest>(&effect)) {
            m_sent.push_back(*send);
        } else if (const auto *answer = std::get_if<SendAnswer>(&effect)) {
            m_answers.push_back(*answer);
        }
    }

    State m_state;
    TimePoint m_now;
    RefPtr<Bundle> m_bundle;
    Effects m_effects;
    std::vector<SendSubRequest> m_sent;
    std::vector<SendAnswer> m_answers;
};
}
