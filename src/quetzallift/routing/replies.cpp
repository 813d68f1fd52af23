#include "quetzallift/core/reducecontext.h"
#include "quetzallift/routing/dispatch.h"
#include "quetzallift/routing/finishing.h"
#include "quetzallift/routing/handlers.h"
#include "quetzallift/routing/searcherhealth.h"
#include "quetzallift/routing/straggling.h"

#include <utility>

namespace Quetzallift
{
namespace
{
// The request that still waits for an attempt's reply, or null.
RunningRequest *requestOf(RoutingState &state, const ForwardAttempt &attempt)
{
    const auto found = state.requests.find(attempt.request);
    return found == state.requests.end() || attempt.orphaned ? nullptr : &found->second;
}

// Takes a reply as the part's result. Other attempts of the part are no longer waited for.
void cover(ReduceContext &context, RunningRequest &request, std::size_t index, ForwardReply reply)
{
    constexpr Duration LoserPatience = std::chrono::milliseconds(500);
    PartProgress &part = request.parts[index];
    part.reply = std::move(reply);
    ++request.covered;
    orphanAttempts(context, part, LoserPatience);
    answerIfDone(context, request);
}

// Tries a part elsewhere after a failed attempt, or gives it up if no other attempt of it is on its way.
void tryElsewhere(ReduceContext &context, RunningRequest &request, std::size_t index, Failure failure, ResendCause cause)
{
    PartProgress &part = request.parts[index];
    context.emit(CountMetric{Metric::SubRequestFailures, toString(failure.kind)});
    part.lastFailure = std::move(failure);
    if (!part.covered() && part.waiting.empty()) {
        sendAgain(context, request, index, cause);
    }
    answerIfDone(context, request);
}

void learn(ReduceContext &context, const ForwardAttempt &attempt, const ForwardReply &reply)
{
    SearcherLoad &searcher = *attempt.searcher;
    switch (reply.kind) {
    case ForwardReplyKind::Success: {
        const Duration latency = context.now - attempt.sentAt;
        noteSuccess(context, searcher, latency);
        noteLatency(context, attempt);
        context.state.routing.services[searcher.entry.service].latency.add(latency, context.now);
        break;
    }
    case ForwardReplyKind::NotExecuted:
        noteShed(context, searcher);
        break;
    case ForwardReplyKind::WrongInstance:
        searcher.displaced = true;
        context.emit(CloseIdleConnections{searcher.entry.id});
        context.emit(WriteLog{{LogLevel::Warning,
                               Step::Wait,
                               searcher.entry.id,
                               {},
                               "another searcher has the address",
                               {{"service", searcher.entry.service}, {"address", searcher.entry.address}}}});
        break;
    case ForwardReplyKind::Failure:
        noteFailedAttempt(context, searcher, "status " + std::to_string(reply.status));
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
    const ForwardAttempt attempt = takeAttempt(context, event.attempt);
    learn(context, attempt, event.reply);
    const std::string service = attempt.searcher->entry.service;
    RunningRequest *request = requestOf(state, attempt);
    if (request != nullptr) {
        const bool ran = event.reply.kind == ForwardReplyKind::Success || event.reply.kind == ForwardReplyKind::Failure;
        PartProgress &part = request->parts[attempt.part];
        request->mayHaveRun = request->mayHaveRun || ran;
        part.runs -= ran ? 0 : 1;
        if (event.reply.kind == ForwardReplyKind::Success) {
            cover(context, *request, attempt.part, event.reply);
        } else {
            if (event.reply.kind == ForwardReplyKind::Failure && !event.reply.signature.empty()) {
                request->failure = event.reply;
            }
            const FailureKind kind = ran ? FailureKind::BadReply : FailureKind::Shed;
            Failure failure{Step::Wait, attempt.searcher->entry.id, kind, "status " + std::to_string(event.reply.status)};
            tryElsewhere(context, *request, attempt.part, std::move(failure), ResendCause::Failed);
        }
    }
    serveWaiting(context, state.services[service]);
}

void handleForwardFailed(ReduceContext &context, const ForwardFailed &event)
{
    RoutingState &state = context.state.routing;
    if (!state.attempts.contains(event.attempt)) {
        return;
    }
    const ForwardAttempt attempt = takeAttempt(context, event.attempt);
    noteFailedAttempt(context, *attempt.searcher, toString(event.failure.kind));
    RunningRequest *request = requestOf(state, attempt);
    if (request != nullptr) {
        request->mayHaveRun = request->mayHaveRun || event.sent;
        request->parts[attempt.part].runs -= event.sent ? 0 : 1;
        tryElsewhere(context, *request, attempt.part, event.failure, event.sent ? ResendCause::Failed : ResendCause::NotSent);
    }
    serveWaiting(context, state.services[attempt.searcher->entry.service]);
}
}
