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
// A closed connection is normal once, when a searcher closes idle connections; the second one in a row shows that it
// stops.
constexpr unsigned ClosedConnectionsLimit = 2;

// Takes an attempt off the searcher's books. Returns false if it had not been sent.
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

// The replicas of a shard that may get a sub-request, and what replica choice needs to know of them.
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

void learnFromFailure(ReduceContext &context, SearcherView &view, const Attempt &attempt, FailureKind kind)
{
    switch (kind) {
    case FailureKind::ConnectionRefused:
        observeError(context, view);
        startDraining(context, view, "connection refused");
        break;
    case FailureKind::ConnectionReset:
        observeError(context, view);
        if (view.failuresInARow >= ClosedConnectionsLimit) {
            startDraining(context, view, "connections closed");
        }
        break;
    case FailureKind::Timeout:
        observeUnanswered(context, view, context.now - attempt.sentAt);
        observeError(context, view);
        break;
    case FailureKind::Draining:
        startDraining(context, view, "drain status");
        break;
    case FailureKind::Shed:
        observeShed(context, view);
        break;
    case FailureKind::NotSent:
    case FailureKind::Cancelled:
    case FailureKind::SnapshotGone:
    case FailureKind::ShardNotHeld:
        break;
    case FailureKind::Truncated:
    case FailureKind::BadReply:
        observeError(context, view);
        break;
    }
    ejectIfOutlier(context, view);
}

void learnFromReply(ReduceContext &context, SearcherView &view, const Attempt &attempt, const SubReply &reply)
{
    if (reply.status == SubReplyStatus::Shed) {
        observeShed(context, view);
        context.emit(CountMetric{Metric::ShedSubRequests, view.backEnd});
    } else if (reply.truncated) {
        observeError(context, view);
        ejectIfOutlier(context, view);
    } else if (reply.status == SubReplyStatus::Ok) {
        observeServed(context, view, context.now - attempt.sentAt);
        forgiveEjections(view, context.now);
        ejectIfOutlier(context, view);
    }
    // A reply sent before the searcher began to leave does not show that it stays: only a health probe ends draining.
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
    // Ejected searchers, and those to which this thread has no connection at present.
    Candidates spare;
    for (const std::string &replica : query.layout->shards[shardIndex].replicas) {
        const SearcherView &view = viewOf(context, *query.backEnd, replica);
        const ConnectionPart part = connectionPart(state, replica, context.now);
        if (query.shards[shardIndex].tried.contains(replica) || view.draining || part.never) {
            continue;
        }
        const bool poor = view.ejected || part.connections == 0;
        (poor ? spare : usable).add(replica, candidateOf(state, view, context.now));
    }
    const Candidates &candidates = usable.views.empty() ? spare : usable;
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
    // A sub-request never overtakes those that already wait.
    if (view.queue.empty() && maySend(context, view)) {
        transmit(context, query, attempt, view);
    } else {
        enqueue(context, view, attempt);
    }
}

void noteReply(ReduceContext &context, const Attempt &attempt, const SubReply &reply)
{
    SearcherView &view = context.state.query.searchers[attempt.searcher];
    if (release(context, view, attempt, true)) {
        learnFromReply(context, view, attempt, reply);
    }
    sendQueued(context, view);
}

void noteFailure(ReduceContext &context, const Attempt &attempt, const Failure &failure)
{
    SearcherView &view = context.state.query.searchers[attempt.searcher];
    if (release(context, view, attempt, !closesConnection(failure.kind))) {
        learnFromFailure(context, view, attempt, failure.kind);
    }
    sendQueued(context, view);
}

void noteCancelled(ReduceContext &context, const Attempt &attempt)
{
    SearcherView &view = context.state.query.searchers[attempt.searcher];
    if (!release(context, view, attempt, false)) {
        return;
    }
    const Duration elapsed = context.now - attempt.sentAt;
    // A searcher that sent nothing at all for long is cut off; its query's deadline ends before a timeout shows it.
    const bool silent = view.lastReplyAt < attempt.sentAt && elapsed >= patience(context, view);
    observeUnanswered(context, view, elapsed);
    if (silent) {
        observeError(context, view);
        ejectIfOutlier(context, view);
    }
    // Not at once: the next in the queue may belong to the same query and be cancelled by the same event.
    if (!view.queue.empty()) {
        wakeQueue(context, view, context.now);
    }
}
}
