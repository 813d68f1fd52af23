#include "quetzallift/query/searcherqueue.h"

#include "quetzallift/core/reducecontext.h"
#include "quetzallift/query/connections.h"
#include "quetzallift/query/draining.h"
#include "quetzallift/query/handlers.h"
#include "quetzallift/query/observe.h"
#include "quetzallift/query/searcherpool.h"
#include "quetzallift/query/transmit.h"

#include <algorithm>
#include <vector>

namespace Quetzallift
{
namespace
{
// The silence timeout is this multiple of the searcher's latency, and at least the minimum.
constexpr int SilenceLatencyRatio = 3;
constexpr Duration MinimumSilenceTimeout = std::chrono::milliseconds(20);

// Moves a queued attempt to another replica that can be sent it now, or to any usable one if the searcher is draining.
// Returns false if there is none.
bool redirect(ReduceContext &context, SearcherView &from, RunningQuery &query, Attempt &attempt)
{
    const std::string *replica = chooseReplica(context, query, attempt.shardIndex);
    if (replica == nullptr) {
        return false;
    }
    const SearcherView &target = viewOf(context, *query.backEnd, *replica);
    if (!from.draining && !maySend(context, target)) {
        return false;
    }
    dequeue(from, attempt, query);
    ShardProgress &progress = query.shards[attempt.shardIndex];
    progress.tried.erase(attempt.searcher);
    progress.tried.insert(*replica);
    attempt.searcher = *replica;
    context.emit(CountMetric{Metric::RedirectedSubRequests, query.request.backEnd});
    startAttempt(context, query, attempt.id);
    return true;
}

// Schedules the processing of the queue when a connection being opened is established or the turn changes, and at the
// latest after the silence timeout.
void scheduleWake(ReduceContext &context, SearcherView &view)
{
    TimePoint at = context.now + silenceTimeout(context, view);
    const ConnectionAllowance allowance = connectionAllowance(context.state.query, view.address, context.now);
    if (view.openingUntil > context.now) {
        at = std::min(at, view.openingUntil);
    }
    if (allowance.rotates && allowance.until > context.now) {
        at = std::min(at, allowance.until);
    }
    wakeQueue(context, view, at);
}
}

Duration silenceTimeout(const ReduceContext &context, const SearcherView &view)
{
    const Seconds latency = view.latency.valueAt(context.now, Seconds{});
    return std::max(MinimumSilenceTimeout, std::chrono::duration_cast<Duration>(latency * SilenceLatencyRatio));
}

bool maySend(const ReduceContext &context, const SearcherView &view)
{
    return !view.draining && view.inFlight + 1.0 <= view.window.size
           && canUseConnection(view, connectionAllowance(context.state.query, view.address, context.now), context.now);
}

void enqueue(ReduceContext &context, SearcherView &view, Attempt &attempt)
{
    const RunningQuery &query = context.state.query.queries.at(attempt.query);
    attempt.queued = true;
    view.queue.insert({query.startTag, query.deadline, attempt.id});
    context.emit(CountMetric{Metric::QueuedSubRequests, query.request.backEnd});
    scheduleWake(context, view);
}

void dequeue(SearcherView &view, const Attempt &attempt, const RunningQuery &query)
{
    view.queue.erase({query.startTag, query.deadline, attempt.id});
}

void sendQueued(ReduceContext &context, SearcherView &view)
{
    QueryState &state = context.state.query;
    while (!view.queue.empty() && maySend(context, view)) {
        const AttemptId id = view.queue.begin()->attempt;
        view.queue.erase(view.queue.begin());
        Attempt &attempt = state.attempts.at(id);
        RunningQuery &query = state.queries.at(attempt.query);
        if (context.now + view.baseline.value < query.deadline) {
            transmit(context, query, attempt, view);
        } else {
            // The attempt stays part of its query, which ends at the same deadline and reports this failure.
            query.shards[attempt.shardIndex].lastFailure =
                Failure{Step::Connect,
                        view.address,
                        FailureKind::NotSent,
                        "a connection became free too late: the time left before the deadline is below the searcher's baseline latency"};
        }
    }
    if (!view.queue.empty()) {
        scheduleWake(context, view);
    }
}

void wakeQueue(ReduceContext &context, SearcherView &view, TimePoint at)
{
    if (view.wakeAt > context.now && view.wakeAt <= at) {
        return;
    }
    view.wakeAt = at;
    context.emit(StartTimer{{TimerKind::SearcherQueue, view.number}, at});
}

void redirectQueue(ReduceContext &context, SearcherView &view)
{
    QueryState &state = context.state.query;
    const std::vector<QueuePosition> queue(view.queue.begin(), view.queue.end());
    for (const QueuePosition &position : queue) {
        const AttemptId id = position.attempt;
        const auto found = state.attempts.find(id);
        // Failing an attempt can end its query, which removes other attempts from the queue.
        if (found == state.attempts.end() || redirect(context, view, state.queries.at(found->second.query), found->second) || !view.draining) {
            continue;
        }
        handleSubRequestFailed(context, {id, {Step::Connect, view.address, FailureKind::NotSent, "the searcher is draining"}, false});
    }
}

void handleSearcherTimer(ReduceContext &context, const TimerKey &timer)
{
    QueryState &state = context.state.query;
    const auto number = state.searcherNumbers.find(timer.subject);
    if (number == state.searcherNumbers.end()) {
        return;
    }
    SearcherView &view = state.searchers.at(number->second);
    if (timer.kind == TimerKind::SearcherProbe) {
        probeHealth(context, view);
        return;
    }
    sendQueued(context, view);
    const bool silent = !view.sentTimes.empty() && context.now - std::max(*view.sentTimes.begin(), view.lastReplyAt) >= silenceTimeout(context, view);
    if (view.draining || view.ejected || silent) {
        redirectQueue(context, view);
    }
    if (!view.queue.empty()) {
        scheduleWake(context, view);
    }
}
}
