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
// A searcher with work is taken as silent after this multiple of its latency, and never before the least time.
constexpr int SilentRatio = 3;
constexpr Duration LeastSilence = std::chrono::milliseconds(20);

// Puts an attempt for a busy or silent searcher on a replica that can be sent it now. Returns false if there is none.
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

// Wakes the queue when an opening or a turn that holds it up ends, and after the searcher's patience in any case.
void scheduleWake(ReduceContext &context, SearcherView &view)
{
    TimePoint at = context.now + patience(context, view);
    const ConnectionPart part = connectionPart(context.state.query, view.address, context.now);
    if (view.openingUntil > context.now) {
        at = std::min(at, view.openingUntil);
    }
    if (part.rotates && part.until > context.now) {
        at = std::min(at, part.until);
    }
    wakeQueue(context, view, at);
}
}

Duration patience(const ReduceContext &context, const SearcherView &view)
{
    const Seconds latency = view.latency.valueAt(context.now, Seconds{});
    return std::max(LeastSilence, std::chrono::duration_cast<Duration>(latency * SilentRatio));
}

bool maySend(const ReduceContext &context, const SearcherView &view)
{
    return !view.draining && view.inFlight + 1.0 <= view.window.size
           && mayUseConnection(view, connectionPart(context.state.query, view.address, context.now), context.now);
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
            // The attempt stays with its query, which ends at the same deadline and then says why.
            query.shards[attempt.shardIndex].lastFailure = Failure{Step::Connect, view.address, FailureKind::NotSent, "no connection was free in time"};
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
        // Failing an attempt can end its query and with it other attempts of the queue.
        if (found == state.attempts.end() || redirect(context, view, state.queries.at(found->second.query), found->second) || !view.draining) {
            continue;
        }
        handleSubRequestFailed(context, {id, {Step::Connect, view.address, FailureKind::NotSent, "the searcher leaves"}, false});
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
    const bool silent = !view.sentTimes.empty() && context.now - std::max(*view.sentTimes.begin(), view.lastReplyAt) >= patience(context, view);
    if (view.draining || view.ejected || silent) {
        redirectQueue(context, view);
    }
    if (!view.queue.empty()) {
        scheduleWake(context, view);
    }
}
}
