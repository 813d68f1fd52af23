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
// After this many hedge delays an attempt counts as lost, and the retry budget pays for the hedge if the hedge budget is
// empty.
constexpr int LostAttemptDelays = 8;
// Retry rounds over all replicas. The delay doubles with each round, so the last one starts after 140 ms.
constexpr unsigned MaximumRetryRounds = 3;
constexpr Duration InitialRetryDelay = std::chrono::milliseconds(20);

Duration retryDelay(const RunningQuery &query)
{
    return InitialRetryDelay * (1 << query.retryRounds);
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

// The expected latency of a replica: its usual latency, or the median of the back end, or zero if neither is known.
Duration expectedLatency(ReduceContext &context, const RunningQuery &query, const std::string &replica)
{
    const auto record = context.state.query.replicaRecords.find(replica);
    if (record != context.state.query.replicaRecords.end() && record->second.usualLatency) {
        return *record->second.usualLatency;
    }
    return viewOf(context, query).latency.median().value_or(Duration::zero());
}

// An attempt beyond the latency tail is expected to take about as long again as it has waited. Another replica is likely
// to be faster only if its usual latency is within the time waited, and its reply is of use only in time for the merge.
bool isLikelyFaster(ReduceContext &context, const RunningQuery &query, const std::string &replica, Duration waited)
{
    const Duration expected = expectedLatency(context, query, replica);
    return expected <= waited && context.now + expected < query.subRequestsUntil;
}

void hedge(ReduceContext &context, RunningQuery &query, std::size_t shardIndex, Duration waited, Duration delay)
{
    const std::string *replica = chooseReplica(context, query, shardIndex);
    if (replica == nullptr || !isLikelyFaster(context, query, *replica, waited)) {
        return;
    }
    BackEndView &view = viewOf(context, query);
    if (view.hedges.take()) {
        context.emit(CountMetric{Metric::Hedges, query.request.backEnd});
    } else if (waited >= LostAttemptDelays * delay && view.retries.take()) {
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

bool isExhausted(const ShardProgress &shard)
{
    return !shard.covered && shard.waiting.empty();
}

// Starts a retry round: sends each uncovered shard without an outstanding attempt to any of its replicas, as far as the
// retry budget allows.
void retryExhausted(ReduceContext &context, RunningQuery &query)
{
    ++query.retryRounds;
    for (std::size_t index = 0; index < query.shards.size(); ++index) {
        if (!isExhausted(query.shards[index])) {
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

// The time of the next check: when the next attempt becomes a straggler, or after half a hedge delay if an attempt is a
// straggler already but could not be hedged, for example because the hedge budget was empty.
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

bool willRetryLater(const ReduceContext &context, const RunningQuery &query)
{
    if (query.retryAt) {
        return true;
    }
    return query.request.repeatable && !query.probe && query.backEnd->policy.preference == DeadlinePreference::Coverage
           && query.retryRounds < MaximumRetryRounds && context.now + retryDelay(query) < query.subRequestsUntil;
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
    if (willRetryLater(context, query) && std::any_of(query.shards.begin(), query.shards.end(), isExhausted)) {
        query.retryAt = query.retryAt.value_or(context.now + retryDelay(query));
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
        retryExhausted(context, query);
    }
    const std::optional<Duration> delay = hedgeDelay(context, query);
    if (delay) {
        hedgeStragglers(context, query, *delay);
    }
    scheduleStragglerCheck(context, query);
    answerIfComplete(context, query);
}
}
