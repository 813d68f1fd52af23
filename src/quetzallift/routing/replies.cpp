#include "quetzallift/core/reducecontext.h"
#include "quetzallift/routing/dispatch.h"
#include "quetzallift/routing/finishing.h"
#include "quetzallift/routing/handlers.h"
#include "quetzallift/routing/searcherhealth.h"
#include "quetzallift/routing/searcherstatements.h"
#include "quetzallift/routing/straggling.h"

#include <utility>

namespace Quetzallift
{
namespace
{
// The request that needs the attempt's reply, or null if the request has ended or the attempt is orphaned.
RunningRequest *requestOf(RoutingState &state, const ForwardAttempt &attempt)
{
    const auto found = state.requests.find(attempt.request);
    return found == state.requests.end() || attempt.orphaned ? nullptr : &found->second;
}

// Stores a reply as the part's result and orphans the other attempts of the part.
void acceptReply(ReduceContext &context, RunningRequest &request, std::size_t index, ForwardReply reply)
{
    // As for the attempts of an answered request: longer than the pauses of searchers.
    constexpr Duration SupersededTimeout = std::chrono::milliseconds(500);
    PartProgress &part = request.parts[index];
    part.reply = std::move(reply);
    ++request.covered;
    orphanAttempts(context, part, SupersededTimeout);
    answerIfDone(context, request);
}

// Retries a part after a failed attempt unless another attempt of the part is in flight. A part that cannot be retried
// is lost.
void retryPart(ReduceContext &context, RunningRequest &request, std::size_t index, Failure failure, ResendCause cause)
{
    PartProgress &part = request.parts[index];
    context.emit(CountMetric{Metric::SubRequestFailures, toString(failure.kind)});
    part.lastFailure = std::move(failure);
    if (!part.covered() && part.inFlight.empty()) {
        resendPart(context, request, index, cause);
    }
    answerIfDone(context, request);
}

// Closes the searcher's idle connections unless this host may keep one.
void releaseConnection(ReduceContext &context, const SearcherLoad &searcher, const ServiceLoad &service)
{
    if (!service.keepsIdleConnections && searcher.inFlight.empty()) {
        context.emit(CloseIdleConnections{searcher.entry.id});
    }
}

void recordReply(ReduceContext &context, const ForwardAttempt &attempt, const ForwardReply &reply)
{
    SearcherLoad &searcher = *attempt.searcher;
    if (reply.kind != ForwardReplyKind::WrongInstance) {
        recordStatement(context, searcher, reply.statement);
    }
    switch (reply.kind) {
    case ForwardReplyKind::Success: {
        const Duration latency = context.now - attempt.sentAt;
        recordSuccess(context, searcher, latency);
        recordLatency(context, attempt);
        context.state.routing.services[searcher.entry.service].latency.add(latency, context.now);
        break;
    }
    case ForwardReplyKind::NotExecuted:
        recordShed(context, searcher);
        break;
    case ForwardReplyKind::WrongInstance:
        searcher.addressReused = true;
        context.emit(CloseIdleConnections{searcher.entry.id});
        context.emit(WriteLog{{LogLevel::Warning,
                               Step::Wait,
                               searcher.entry.id,
                               {},
                               "another process replied at the searcher's address; no more requests are sent to it",
                               {{"service", searcher.entry.service}, {"address", searcher.entry.address}}}});
        break;
    case ForwardReplyKind::Failure:
        recordFailedAttempt(context, searcher, "status " + std::to_string(reply.status));
        break;
    }
}
}

void handleForwardReplied(ReduceContext &context, const ForwardReplied &event)
{
    RoutingState &state = context.state.routing;
    if (!state.attempts.contains(event.attempt)) {
        context.emit(CountMetric{Metric::DroppedReplies, "late"});
        return;
    }
    const ForwardAttempt attempt = removeAttempt(context, event.attempt);
    recordReply(context, attempt, event.reply);
    ServiceLoad &service = state.services[attempt.searcher->entry.service];
    RunningRequest *request = requestOf(state, attempt);
    if (request != nullptr) {
        const bool ran = event.reply.kind == ForwardReplyKind::Success || event.reply.kind == ForwardReplyKind::Failure;
        PartProgress &part = request->parts[attempt.part];
        request->mayHaveRun = request->mayHaveRun || ran;
        part.runs -= ran ? 0 : 1;
        if (event.reply.kind == ForwardReplyKind::Success) {
            acceptReply(context, *request, attempt.part, event.reply);
        } else {
            if (event.reply.kind == ForwardReplyKind::Failure && !event.reply.signature.empty()) {
                request->failure = event.reply;
            }
            const FailureKind kind = ran ? FailureKind::BadReply : FailureKind::Shed;
            Failure failure{Step::Wait, attempt.searcher->entry.id, kind, "status " + std::to_string(event.reply.status)};
            retryPart(context, *request, attempt.part, std::move(failure), ResendCause::Failed);
        }
    }
    sendQueuedParts(context, service);
    releaseConnection(context, *attempt.searcher, service);
}

void handleForwardFailed(ReduceContext &context, const ForwardFailed &event)
{
    RoutingState &state = context.state.routing;
    if (!state.attempts.contains(event.attempt)) {
        return;
    }
    const ForwardAttempt attempt = removeAttempt(context, event.attempt);
    recordFailedAttempt(context, *attempt.searcher, toString(event.failure.kind));
    RunningRequest *request = requestOf(state, attempt);
    if (request != nullptr) {
        request->mayHaveRun = request->mayHaveRun || event.sent;
        request->parts[attempt.part].runs -= event.sent ? 0 : 1;
        retryPart(context, *request, attempt.part, event.failure, event.sent ? ResendCause::Failed : ResendCause::NotSent);
    }
    sendQueuedParts(context, state.services[attempt.searcher->entry.service]);
}
}
