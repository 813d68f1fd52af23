#include "quetzallift/query/straggler.h"

#include "quetzallift/core/reducecontext.h"
#include "quetzallift/query/gather.h"
#include "quetzallift/query/scatter.h"
#include "quetzallift/query/searcherpool.h"

#include <algorithm>

namespace Quetzallift
{
namespace
{
// An attempt that waits this many hedge delays is taken for lost: the retry budget pays if the hedge budget is empty.
constexpr int LostAfterDelays = 8;
// Rounds of retries over all replicas; each waits twice as long as the one before, so the last starts after 140 ms.
constexpr unsigned MaximumRetryRounds = 3;
constexpr Duration FirstRetryPause = std::chrono::milliseconds(20);

Duration retryPause(const RunningQuery &query)
{
    return FirstRetryPause * (1 << query.retryRounds);
}

BackEndView &viewOf(ReduceContext &context, const RunningQuery &query)
{
    return context.state.query.backEnds[query.request.backEnd];
}

std::optional<Duration> hedgeDelay(ReduceContext &context, const RunningQuery &query)
{
    if (!query.request.repeatable) {
        return std::nullopt;
    }
    return context.state.hooks.hedgeDelay(viewOf(context, query).latency, query.backEnd->policy);
}

// The latency that a replica's reply is expected to take; zero if nothing is known.
Duration expectedLatency(ReduceContext &context, const RunningQuery &query, const std::string &replica)
{
    const auto record = context.state.query.replicaRecords.find(replica);
    if (record != context.state.query.replicaRecords.end() && record->second.usualLatency) {
        return *record->second.usualLatency;
    }
    return viewOf(context, query).latency.median().value_or(Duration::zero());
}

// An attempt beyond the tail of latencies is expected to wait about as long again, so another replica is likely to beat
// it only if it usually replies within the time waited, and in time for the merge.
bool likelyToBeat(ReduceContext &context, const RunningQuery &query, const std::string &replica, Duration waited)
{
    const Duration expected = expectedLatency(context, query, replica);
    return expected <= waited && context.now + expected < query.subRequestsUntil;
}

void hedge(ReduceContext &context, RunningQuery &query, std::size_t shardIndex, Duration waited, Duration delay)
{
    const std::string *replica = chooseReplica(context, query, shardIndex);
    if (replica == nullptr || !likelyToBeat(context, query, *replica, waited)) {
        return;
    }
    BackEndView &view = viewOf(context, query);
    if (view.hedges.take()) {
        context.emit(CountMetric{Metric::Hedges, query.request.backEnd});
    } else if (waited >= LostAfterDelays * delay && view.retries.take()) {
        context.emit(CountMetric{Metric::Retries, query.request.backEnd});
    } else {
        return;
    }
    sendToReplica(context, query, shardIndex, *replica);
}

TimePoint newestAttempt(const ReduceContext &context, const ShardProgress &shard)
{
    return context.state.query.attempts.at(*shard.waiting.rbegin()).plannedAt;
}

void hedgeStragglers(ReduceContext &context, RunningQuery &query, Duration delay)
{
    for (std::size_t index = 0; index < query.shards.size(); ++index) {
        const ShardProgress &shard = query.shards[index];
        if (shard.covered || shard.waiting.empty()) {
            continue;
        }
        const Duration waited = context.now - newestAttempt(context, shard);
        if (waited >= delay) {
            hedge(context, query, index, waited, delay);
        }
    }
}

bool isStranded(const ShardProgress &shard)
{
    return !shard.covered && shard.waiting.empty();
}

// Tries every replica again for the shards of which none is left, paid from the retry budget.
void retryStranded(ReduceContext &context, RunningQuery &query)
{
    ++query.retryRounds;
    for (std::size_t index = 0; index < query.shards.size(); ++index) {
        if (!isStranded(query.shards[index])) {
            continue;
        }
        query.shards[index].tried.clear();
        const std::string *replica = chooseReplica(context, query, index);
        if (replica != nullptr && viewOf(context, query).retries.take()) {
            context.emit(CountMetric{Metric::Retries, query.request.backEnd});
            sendToReplica(context, query, index, *replica);
        }
    }
}

// The instant of the next check: when the next attempt becomes a straggler, or half a delay on if one is overdue because
// the budget was empty.
TimePoint nextCheck(const ReduceContext &context, const RunningQuery &query, Duration delay)
{
    TimePoint next = TimePoint::max();
    for (const ShardProgress &shard : query.shards) {
        if (!shard.covered && !shard.waiting.empty()) {
            next = std::min(next, std::max(newestAttempt(context, shard) + delay, context.now + delay / 2));
        }
    }
    return next;
}
}

bool retriesLater(const ReduceContext &context, const RunningQuery &query)
{
    if (query.retryAt) {
        return true;
    }
    return query.request.repeatable && !query.probe && query.backEnd->policy.preference == DeadlinePreference::Coverage
           && query.retryRounds < MaximumRetryRounds && context.now + retryPause(query) < query.subRequestsUntil;
}

void scheduleStragglerCheck(ReduceContext &context, RunningQuery &query)
{
    if (query.probe) {
        return;
    }
    TimePoint next = TimePoint::max();
    const std::optional<Duration> delay = hedgeDelay(context, query);
    if (delay) {
        next = nextCheck(context, query, *delay);
    }
    if (retriesLater(context, query) && std::any_of(query.shards.begin(), query.shards.end(), isStranded)) {
        query.retryAt = query.retryAt.value_or(context.now + retryPause(query));
        next = std::min(next, *query.retryAt);
    }
    if (next < query.subRequestsUntil && (!query.checkAt || next < *query.checkAt)) {
        query.checkAt = next;
        context.emit(StartTimer{{TimerKind::StragglerCheck, query.id.value}, next});
    }
}

void checkStragglers(ReduceContext &context, RunningQuery &query)
{
    if (!query.checkAt || context.now < *query.checkAt) {
        return;
    }
    query.checkAt.reset();
    if (query.retryAt && *query.retryAt <= context.now) {
        query.retryAt.reset();
        retryStranded(context, query);
    }
    const std::optional<Duration> delay = hedgeDelay(context, query);
    if (delay) {
        hedgeStragglers(context, query, *delay);
    }
    scheduleStragglerCheck(context, query);
    answerIfComplete(context, query);
}
}
