#include "quetzallift/routing/dispatch.h"

#include "quetzallift/core/reducecontext.h"
#include "quetzallift/routing/searcherchoice.h"
#include "quetzallift/routing/searcherhealth.h"
#include "quetzallift/routing/searcherstatements.h"
#include "quetzallift/routing/straggling.h"

#include <algorithm>
#include <utility>

namespace Quetzallift
{
namespace
{
// Limits the sends of a part: a "not executed" reply does not count against the route's attempts, but each send occupies
// a connection.
constexpr unsigned MaximumSends = 4;
// Longer than ordinary pauses of a searcher. If an orphaned attempt of this age is cancelled, and the searcher has not
// replied with success or "not executed" since it was sent, the searcher is ejected.
constexpr Duration MaximumPause = std::chrono::milliseconds(400);

void send(ReduceContext &context, RunningRequest &request, std::size_t index, const SearcherLoadPtr &searcher)
{
    RoutingState &state = context.state.routing;
    PartProgress &part = request.parts[index];
    const AttemptId id{++state.lastAttempt};
    ForwardAttempt &attempt = state.attempts[id];
    attempt.id = id;
    attempt.request = request.id;
    attempt.part = index;
    attempt.searcher = searcher;
    attempt.route = request.route->name;
    attempt.sentAt = context.now;
    searcher->inFlight.push_back(attempt);
    if (searcher->pace) {
        searcher->pace->take(context.now);
    }
    part.tried.push_back(searcher->entry.id);
    part.inFlight.push_back(id);
    ++part.sends;
    ++part.runs;
    request.dispatched = true;
    context.emit(ForwardRequest{id, searcher->entry.id, searcher->entry.address, request.content, request.deadline});
    context.emit(CountMetric{Metric::SubRequests, part.service});
    scheduleStragglerCheck(context, request, index, context.now + hedgeDelay(context, attempt));
}

const char *toString(ResendCause cause)
{
    switch (cause) {
    case ResendCause::Overdue:
        return "overdue";
    case ResendCause::Failed:
        return "failed";
    case ResendCause::NotSent:
        break;
    }
    return "not sent";
}

bool takeFromBudget(ServiceLoad &service, ResendCause cause)
{
    switch (cause) {
    case ResendCause::NotSent:
        return true;
    case ResendCause::Overdue:
        return service.retryBudget.takeForHedge();
    case ResendCause::Failed:
        break;
    }
    return service.retryBudget.takeForRetry();
}

bool mayResend(const RunningRequest &request, const PartProgress &part)
{
    const bool repeatable = request.route->idempotent || part.runs == 0;
    return repeatable && part.runs < request.route->maxAttempts && part.sends < MaximumSends;
}
}

void startPart(ReduceContext &context, RunningRequest &request, std::size_t index)
{
    PartProgress &part = request.parts[index];
    ServiceLoad &service = context.state.routing.services[part.service];
    const SearcherLoadPtr searcher = service.queue.empty() ? chooseSearcher(context, service, part.tried) : nullptr;
    if (searcher) {
        send(context, request, index, searcher);
        return;
    }
    part.queued = true;
    service.queue.push_back({request.id, index});
    schedulePacedSend(context, service);
    context.emit(CountMetric{Metric::QueuedSubRequests, part.service});
}

bool resendPart(ReduceContext &context, RunningRequest &request, std::size_t index, ResendCause cause)
{
    PartProgress &part = request.parts[index];
    if (!mayResend(request, part)) {
        part.notResentReason = "no attempt left";
        return false;
    }
    ServiceLoad &service = context.state.routing.services[part.service];
    const SearcherLoadPtr searcher = chooseSearcher(context, service, part.tried);
    if (!searcher || !takeFromBudget(service, cause)) {
        part.notResentReason = searcher ? "no budget" : "no other searcher";
        return false;
    }
    ++request.extraSends;
    const std::string previous = part.tried.empty() ? std::string() : part.tried.back();
    context.emit(CountMetric{part.inFlight.empty() ? Metric::Retries : Metric::Hedges, part.service});
    context.emit(WriteLog{{LogLevel::Info,
                           Step::Hedge,
                           searcher->entry.id,
                           request.content->id,
                           "sent to another searcher",
                           {{"cause", toString(cause)}, {"service", part.service}, {"after_searcher", previous}, {"sends", std::to_string(part.sends + 1)}}}});
    send(context, request, index, searcher);
    return true;
}

ForwardAttempt removeAttempt(ReduceContext &context, AttemptId id)
{
    RoutingState &state = context.state.routing;
    const auto found = state.attempts.find(id);
    ForwardAttempt &stored = found->second;
    stored.searcher->inFlight.erase(SearcherLoad::Attempts::s_iterator_to(stored));
    ForwardAttempt attempt;
    attempt.id = stored.id;
    attempt.request = stored.request;
    attempt.part = stored.part;
    attempt.searcher = std::move(stored.searcher);
    attempt.route = std::move(stored.route);
    attempt.sentAt = stored.sentAt;
    attempt.orphaned = stored.orphaned;
    state.attempts.erase(found);
    const auto request = state.requests.find(attempt.request);
    if (request != state.requests.end()) {
        std::erase(request->second.parts[attempt.part].inFlight, id);
    }
    return attempt;
}

void sendQueuedParts(ReduceContext &context, ServiceLoad &service)
{
    RoutingState &state = context.state.routing;
    while (!service.queue.empty()) {
        const QueuedPart next = service.queue.front();
        const auto found = state.requests.find(next.request);
        if (found == state.requests.end()) {
            service.queue.pop_front();
            continue;
        }
        const SearcherLoadPtr searcher = chooseSearcher(context, service, found->second.parts[next.part].tried);
        if (!searcher) {
            schedulePacedSend(context, service);
            return;
        }
        service.queue.pop_front();
        found->second.parts[next.part].queued = false;
        send(context, found->second, next.part, searcher);
    }
}

void orphanAttempts(ReduceContext &context, PartProgress &part, Duration timeout)
{
    for (const AttemptId id : part.inFlight) {
        ForwardAttempt &attempt = context.state.routing.attempts.at(id);
        attempt.orphaned = true;
        context.emit(StartTimer{{TimerKind::OrphanLimit, id.value}, context.now + timeout});
    }
    part.inFlight.clear();
}

void cancelOrphan(ReduceContext &context, AttemptId id)
{
    RoutingState &state = context.state.routing;
    if (!state.attempts.contains(id)) {
        return;
    }
    const ForwardAttempt attempt = removeAttempt(context, id);
    context.emit(CancelForward{id});
    recordLatency(context, attempt);
    if (context.now - attempt.sentAt >= MaximumPause && attempt.searcher->lastReplyAt < attempt.sentAt) {
        recordSilence(context, *attempt.searcher);
    }
    sendQueuedParts(context, state.services[attempt.searcher->entry.service]);
}
}
