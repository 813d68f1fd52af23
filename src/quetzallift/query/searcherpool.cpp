#include "quetzallift/query/searcherpool.h"

#include "quetzallift/core/reducecontext.h"
#include "quetzallift/query/connections.h"
#include "quetzallift/query/draining.h"
#include "quetzallift/query/ejection.h"
#include "quetzallift/query/observe.h"
#include "quetzallift/query/searcherqueue.h"
#include "quetzallift/query/transmit.h"

#include <algorithm>
#include <vector>

namespace Quetzallift
{
namespace
{
// A single closed connection is normal, since searchers close idle connections; two consecutive ones show that the
// searcher is stopping.
constexpr unsigned ClosedConnectionsLimit = 2;

// Removes an attempt from the searcher's queue or from its sub-requests in flight. Returns false if it had not been sent.
bool release(ReduceContext &context, SearcherView &view, const Attempt &attempt, bool connectionStays)
{
    if (attempt.queued) {
        const auto query = context.state.query.queries.find(attempt.query);
        if (query != context.state.query.queries.end()) {
            dequeue(view, attempt, query->second);
        }
        return false;
    }
    view.inFlight -= std::min(view.inFlight, 1U);
    const auto sent = view.sentTimes.find(attempt.sentAt);
    if (sent != view.sentTimes.end()) {
        view.sentTimes.erase(sent);
    }
    if (!connectionStays || attempt.closesConnection) {
        view.open -= std::min(view.open, 1U);
    }
    return true;
}

// Replicas of a shard that may be sent a sub-request, and their inputs of replica choice.
struct Candidates {
    std::vector<const std::string *> addresses;
    std::vector<ReplicaCandidate> views;

    void add(const std::string &address, const ReplicaCandidate &view)
    {
        addresses.push_back(&address);
        views.push_back(view);
    }
};

bool closesConnection(FailureKind kind)
{
    return kind != FailureKind::BadReply && kind != FailureKind::Truncated;
}

void applyFailure(ReduceContext &context, SearcherView &view, const Attempt &attempt, FailureKind kind)
{
    switch (kind) {
    case FailureKind::ConnectionRefused:
        recordError(context, view);
        startDraining(context, view, "connection refused");
        break;
    case FailureKind::ConnectionReset:
        recordError(context, view);
        if (view.consecutiveFailures >= ClosedConnectionsLimit) {
            startDraining(context, view, "connections closed");
        }
        break;
    case FailureKind::Timeout:
        recordUnanswered(context, view, context.now - attempt.sentAt);
        recordError(context, view);
        break;
    case FailureKind::Draining:
        startDraining(context, view, "drain status");
        break;
    case FailureKind::Shed:
        recordShed(context, view);
        break;
    case FailureKind::NotSent:
    case FailureKind::Cancelled:
    case FailureKind::SnapshotGone:
    case FailureKind::ShardNotHeld:
        break;
    case FailureKind::Truncated:
    case FailureKind::BadReply:
        recordError(context, view);
        break;
    }
    ejectIfOutlier(context, view);
}

void applyReply(ReduceContext &context, SearcherView &view, const Attempt &attempt, const SubReply &reply)
{
    if (reply.status == SubReplyStatus::Shed) {
        recordShed(context, view);
        context.emit(CountMetric{Metric::ShedSubRequests, view.backEnd});
    } else if (reply.truncated) {
        recordError(context, view);
        ejectIfOutlier(context, view);
    } else if (reply.status == SubReplyStatus::Ok) {
        recordServed(context, view, context.now - attempt.sentAt);
        resetEjections(view, context.now);
        ejectIfOutlier(context, view);
    }
    // A reply may have been sent before the searcher began to leave, so it never ends draining; only a health probe does.
    if (reply.status == SubReplyStatus::Draining) {
        startDraining(context, view, "drain status");
    } else if (reply.leaving) {
        startDraining(context, view, "leaving in a reply");
    }
}
}

const std::string *chooseReplica(ReduceContext &context, const RunningQuery &query, std::size_t shardIndex)
{
    QueryState &state = context.state.query;
    Candidates usable;
    // Ejected searchers, and those to which this thread has no connection now.
    Candidates fallback;
    for (const std::string &replica : query.layout->shards[shardIndex].replicas) {
        const SearcherView &view = viewOf(context, *query.backEnd, replica);
        const ConnectionAllowance allowance = connectionAllowance(state, replica, context.now);
        if (query.shards[shardIndex].tried.contains(replica) || view.draining || allowance.excluded) {
            continue;
        }
        const bool onlyFallback = view.ejected || allowance.connections == 0;
        (onlyFallback ? fallback : usable).add(replica, candidateOf(state, view, context.now));
    }
    const Candidates &candidates = usable.views.empty() ? fallback : usable;
    if (candidates.views.empty()) {
        return nullptr;
    }
    return candidates.addresses[context.state.hooks.chooseReplica(candidates.views, context.state.hooks.random)];
}

void startAttempt(ReduceContext &context, RunningQuery &query, AttemptId id)
{
    Attempt &attempt = context.state.query.attempts.at(id);
    attempt.id = id;
    SearcherView &view = viewOf(context, *query.backEnd, attempt.searcher);
    // A new sub-request never overtakes queued ones.
    if (view.queue.empty() && maySend(context, view)) {
        transmit(context, query, attempt, view);
    } else {
        enqueue(context, view, attempt);
    }
}

void recordReply(ReduceContext &context, const Attempt &attempt, const SubReply &reply)
{
    SearcherView &view = context.state.query.searchers[attempt.searcher];
    if (release(context, view, attempt, true)) {
        applyReply(context, view, attempt, reply);
    }
    sendQueued(context, view);
}

void recordFailure(ReduceContext &context, const Attempt &attempt, const Failure &failure)
{
    SearcherView &view = context.state.query.searchers[attempt.searcher];
    if (release(context, view, attempt, !closesConnection(failure.kind))) {
        applyFailure(context, view, attempt, failure.kind);
    }
    sendQueued(context, view);
}

void recordCancelled(ReduceContext &context, const Attempt &attempt)
{
    SearcherView &view = context.state.query.searchers[attempt.searcher];
    if (!release(context, view, attempt, false)) {
        return;
    }
    const Duration elapsed = context.now - attempt.sentAt;
    // If the searcher sent no reply within the silence timeout, the attempt counts as an error: queries often reach their
    // deadline and cancel it before a timeout would be reported.
    const bool silent = view.lastReplyAt < attempt.sentAt && elapsed >= silenceTimeout(context, view);
    recordUnanswered(context, view, elapsed);
    if (silent) {
        recordError(context, view);
        ejectIfOutlier(context, view);
    }
    // Not sent immediately: the next queued attempt may belong to the same query and be cancelled by the same event.
    if (!view.queue.empty()) {
        wakeQueue(context, view, context.now);
    }
}
}
