#include "quetzallift/routing/dispatch.h"

#include "quetzallift/core/reducecontext.h"
#include "quetzallift/routing/searcherchoice.h"
#include "quetzallift/routing/searcherhealth.h"
#include "quetzallift/routing/straggling.h"

#include <algorithm>
#include <utility>

namespace Quetzallift
{
namespace
{
// A searcher that says "not executed" costs an attempt nothing, but each send costs a connection's turn.
constexpr unsigned MaximumSends = 4;
// An attempt of this age without a reply was not held up by an ordinary pause.
constexpr Duration LongestPause = std::chrono::milliseconds(400);

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
    part.tried.push_back(searcher->entry.id);
    part.waiting.push_back(id);
    ++part.sends;
    ++part.runs;
    request.offered = true;
    context.emit(ForwardRequest{id, searcher->entry.id, searcher->entry.address, request.content, request.until - context.now});
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

bool payFor(ServiceLoad &service, ResendCause cause)
{
    switch (cause) {
    case ResendCause::NotSent:
        return true;
    case ResendCause::Overdue:
        return service.extras.takeForHedge();
    case ResendCause::Failed:
        break;
    }
    return service.extras.takeForRetry();
}

bool mayRunAgain(const RunningRequest &request, const PartProgress &part)
{
    const bool repeatable = request.route->idempotent || part.runs == 0;
    return repeatable && part.runs < request.route->maxAttempts && part.sends < MaximumSends;
}
}

void startPart(ReduceContext &context, RunningRequest &request, std::size_t index)
{
    PartProgress &part = request.parts[index];
    ServiceLoad &service = context.state.routing.services[part.service];
    const SearcherLoadPtr searcher = service.waiting.empty() ? chooseSearcher(context, service, part.tried) : nullptr;
    if (searcher) {
        send(context, request, index, searcher);
        return;
    }
    part.queued = true;
    service.waiting.push_back({request.id, index});
    context.emit(CountMetric{Metric::QueuedSubRequests, part.service});
}

bool sendAgain(ReduceContext &context, RunningRequest &request, std::size_t index, ResendCause cause)
{
    PartProgress &part = request.parts[index];
    if (!mayRunAgain(request, part)) {
        part.notResent = "no attempt left";
        return false;
    }
    ServiceLoad &service = context.state.routing.services[part.service];
    const SearcherLoadPtr searcher = chooseSearcher(context, service, part.tried);
    if (!searcher || !payFor(service, cause)) {
        part.notResent = searcher ? "no budget" : "no other searcher";
        return false;
    }
    ++request.extras;
    const std::string first = part.tried.empty() ? std::string() : part.tried.back();
    context.emit(CountMetric{part.waiting.empty() ? Metric::Retries : Metric::Hedges, part.service});
    context.emit(WriteLog{{LogLevel::Info,
                           Step::Hedge,
                           searcher->entry.id,
                           request.content->id,
                           "sent once more",
                           {{"cause", toString(cause)}, {"service", part.service}, {"after_searcher", first}, {"sends", std::to_string(part.sends + 1)}}}});
    send(context, request, index, searcher);
    return true;
}

ForwardAttempt takeAttempt(ReduceContext &context, AttemptId id)
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
        std::erase(request->second.parts[attempt.part].waiting, id);
    }
    return attempt;
}

void serveWaiting(ReduceContext &context, ServiceLoad &service)
{
    RoutingState &state = context.state.routing;
    while (!service.waiting.empty()) {
        const WaitingPart next = service.waiting.front();
        const auto found = state.requests.find(next.request);
        if (found == state.requests.end()) {
            service.waiting.pop_front();
            continue;
        }
        const SearcherLoadPtr searcher = chooseSearcher(context, service, found->second.parts[next.part].tried);
        if (!searcher) {
            return;
        }
        service.waiting.pop_front();
        found->second.parts[next.part].queued = false;
        send(context, found->second, next.part, searcher);
    }
}

void orphanAttempts(ReduceContext &context, PartProgress &part, Duration patience)
{
    for (const AttemptId id : part.waiting) {
        ForwardAttempt &attempt = context.state.routing.attempts.at(id);
        attempt.orphaned = true;
        context.emit(StartTimer{{TimerKind::OrphanLimit, id.value}, context.now + patience});
    }
    part.waiting.clear();
}

void cancelOrphan(ReduceContext &context, AttemptId id)
{
    RoutingState &state = context.state.routing;
    if (!state.attempts.contains(id)) {
        return;
    }
    const ForwardAttempt attempt = takeAttempt(context, id);
    context.emit(CancelForward{id});
    noteLatency(context, attempt);
    if (context.now - attempt.sentAt >= LongestPause && attempt.searcher->lastReplyAt < attempt.sentAt) {
        noteSilence(context, *attempt.searcher);
    }
    serveWaiting(context, state.services[attempt.searcher->entry.service]);
}
}
