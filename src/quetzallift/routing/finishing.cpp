#include "quetzallift/routing/finishing.h"

#include "quetzallift/core/reducecontext.h"
#include "quetzallift/query/finish.h"
#include "quetzallift/routing/dispatch.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Quetzallift
{
namespace
{
// Longer than the pauses of searchers: a paused searcher still replies, and its connection need not be closed.
constexpr Duration OrphanTimeout = std::chrono::milliseconds(500);
// Limits the missing shards that a log line names.
constexpr std::size_t MaximumShardsNamed = 3;

std::string millisecondsText(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

// Names the first services without a reply (shards of a scattered request), and the reasons.
std::string describeMissing(const RunningRequest &request)
{
    std::string text;
    std::size_t named = 0;
    for (const PartProgress &part : request.parts) {
        if (part.covered() || named == MaximumShardsNamed) {
            continue;
        }
        ++named;
        text += (text.empty() ? "" : "; ") + part.service + ": ";
        if (part.lastFailure) {
            text += part.lastFailure->peer + " " + toString(part.lastFailure->kind);
        } else if (part.sends == 0) {
            text += "not sent to any searcher";
        } else {
            text += part.tried.back() + " has not replied";
        }
        if (*part.notResentReason != '\0') {
            text += std::string(", ") + part.notResentReason;
        }
    }
    return text;
}

void logAnswer(ReduceContext &context, const RunningRequest &request, const ClientAnswer &answer)
{
    const bool served = answer.kind == ClientAnswerKind::Reply || answer.kind == ClientAnswerKind::Merged;
    const bool complete = served && request.covered == request.parts.size();
    LogRecord record;
    record.level = complete ? LogLevel::Info : LogLevel::Warning;
    record.step = Step::Answer;
    record.request = request.content->id;
    record.message = toString(answer.kind);
    record.fields = {{"route", request.route->name},
                     {"configuration", std::to_string(request.table->version)},
                     {"elapsed_ms", millisecondsText(context.now - request.arrivedAt)},
                     {"target_ms", millisecondsText(request.targetAt - request.arrivedAt)},
                     {"limit_ms", millisecondsText(request.deadline - request.arrivedAt)},
                     {"parts", std::to_string(request.covered) + "/" + std::to_string(request.parts.size())}};
    if (request.extraSends > 0) {
        record.fields.push_back({"extra_sends", std::to_string(request.extraSends)});
    }
    if (!complete) {
        record.fields.push_back({"missing", describeMissing(request)});
    }
    if (!answer.reason.empty()) {
        record.fields.push_back({"reason", answer.reason});
    }
    context.emit(WriteLog{std::move(record)});
}

void finish(ReduceContext &context, RunningRequest &request, ClientAnswer answer)
{
    answer.closeConnection = context.state.routing.leaving;
    logAnswer(context, request, answer);
    context.emit(CountMetric{Metric::Answers, toString(answer.kind)});
    context.emit(AnswerRequest{request.id, std::move(answer)});
    dropRequest(context, request, OrphanTimeout);
}

ClientAnswer mergedAnswer(ReduceContext &context, RunningRequest &request)
{
    ClientAnswer answer;
    answer.kind = ClientAnswerKind::Merged;
    std::vector<std::string_view> bodies;
    for (const PartProgress &part : request.parts) {
        if (part.covered()) {
            bodies.emplace_back(part.reply->body);
            answer.signatures.push_back(part.reply->signature);
        }
    }
    answer.missing = request.parts.size() - request.covered;
    answer.records = context.state.hooks.mergeParts(bodies, request.route->recordLimit);
    return answer;
}

void finishServed(ReduceContext &context, RunningRequest &request)
{
    if (request.route->scattered()) {
        finish(context, request, mergedAnswer(context, request));
        return;
    }
    ClientAnswer answer;
    answer.kind = ClientAnswerKind::Reply;
    answer.reply = std::move(*request.parts.front().reply);
    finish(context, request, std::move(answer));
}

// True if a searcher may be executing a part of the request or may still start to.
bool hasPartsInFlight(const RunningRequest &request)
{
    return std::any_of(request.parts.begin(), request.parts.end(), [](const PartProgress &part) {
        return !part.inFlight.empty();
    });
}

// Answers a request for which too few parts have replies.
void finishUnserved(ReduceContext &context, RunningRequest &request, ClientAnswerKind kind, const std::string &reason)
{
    // A new searcher or a free connection is usually available within this time.
    constexpr Duration RetryAfter = std::chrono::milliseconds(100);
    if (!request.mayHaveRun && !hasPartsInFlight(request)) {
        refuseRequest(context, request, RetryAfter, reason);
        return;
    }
    ClientAnswer answer;
    answer.kind = kind;
    answer.reason = reason;
    if (request.failure && !request.route->scattered()) {
        answer.kind = ClientAnswerKind::Reply;
        answer.reply = std::move(*request.failure);
    }
    finish(context, request, std::move(answer));
}

bool isFinished(const PartProgress &part)
{
    return part.covered() || (part.inFlight.empty() && !part.queued);
}
}

std::size_t requiredParts(const Route &route)
{
    if (!route.scattered()) {
        return 1;
    }
    // The binary value of a decimal ratio may be slightly too large; without this margin the product would round up to
    // one part too many.
    constexpr double Rounding = 1e-9;
    const double needed = std::ceil(route.minimumCoverage * static_cast<double>(route.shards.size()) - Rounding);
    return std::max<std::size_t>(1, static_cast<std::size_t>(std::max(0.0, needed)));
}

bool answerIfDone(ReduceContext &context, RunningRequest &request)
{
    const bool enough = request.covered >= requiredParts(*request.route);
    if (request.covered == request.parts.size() || (enough && context.now >= request.targetAt)) {
        finishServed(context, request);
        return true;
    }
    const auto finished = static_cast<std::size_t>(std::count_if(request.parts.begin(), request.parts.end(), isFinished));
    if (finished == request.parts.size()) {
        if (enough) {
            finishServed(context, request);
        } else {
            finishUnserved(context, request, ClientAnswerKind::Failed, "no searcher replied with success");
        }
        return true;
    }
    // With too many parts lost, the remaining replies cannot reach the required count.
    if (finished - request.covered > request.parts.size() - requiredParts(*request.route)) {
        finishUnserved(context, request, ClientAnswerKind::Failed, "too many shards failed");
        return true;
    }
    return false;
}

void answerAtLimit(ReduceContext &context, RunningRequest &request)
{
    if (request.covered >= requiredParts(*request.route)) {
        finishServed(context, request);
    } else {
        request.mayHaveRun = request.mayHaveRun || request.dispatched;
        finishUnserved(context, request, ClientAnswerKind::TimedOut, "no time left for the request");
    }
}

void refuseRequest(ReduceContext &context, RunningRequest &request, Duration retryAfter, const std::string &reason)
{
    ClientAnswer answer;
    answer.kind = ClientAnswerKind::Refused;
    answer.retryAfter = retryAfter;
    answer.reason = reason;
    finish(context, request, std::move(answer));
}

void answerUnadmitted(ReduceContext &context, QueryId id, const ClientRequest &content, const Route *route, ClientAnswer answer)
{
    answer.closeConnection = context.state.routing.leaving;
    const RouteTablePtr &routes = context.state.routing.routes;
    context.emit(CountMetric{Metric::Answers, toString(answer.kind)});
    context.emit(WriteLog{{LogLevel::Warning,
                           Step::Admit,
                           {},
                           content.id,
                           toString(answer.kind),
                           {{"route", route != nullptr ? route->name : "none"},
                            {"configuration", routes ? std::to_string(routes->version) : "none"},
                            {"reason", answer.reason}}}});
    context.emit(AnswerRequest{id, std::move(answer)});
}

void dropRequest(ReduceContext &context, RunningRequest &request, Duration timeout)
{
    for (PartProgress &part : request.parts) {
        orphanAttempts(context, part, timeout);
    }
    context.state.routing.requests.erase(request.id);
    reportStopped(context);
}
}
