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
// Longer than the pauses of searchers, so that a paused one still replies on the connection that it would lose.
constexpr Duration OrphanPatience = std::chrono::milliseconds(500);
// At most this many missing shards are named in a log line.
constexpr std::size_t MaximumNamed = 3;

std::string millis(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

// Names the first shards that the answer lacks, and why.
std::string missingText(const RunningRequest &request)
{
    std::string text;
    std::size_t named = 0;
    for (const PartProgress &part : request.parts) {
        if (part.covered() || named == MaximumNamed) {
            continue;
        }
        ++named;
        text += (text.empty() ? "" : "; ") + part.service + ": ";
        if (part.lastFailure) {
            text += part.lastFailure->peer + " " + toString(part.lastFailure->kind);
        } else if (part.sends == 0) {
            text += "no searcher took it";
        } else {
            text += part.tried.back() + " has not replied";
        }
        if (*part.notResent != '\0') {
            text += std::string(", ") + part.notResent;
        }
    }
    return text;
}

void logAnswer(ReduceContext &context, const RunningRequest &request, const ClientAnswer &answer)
{
    const bool served = answer.kind == ClientAnswerKind::Reply || answer.kind == ClientAnswerKind::Merged;
    const bool whole = served && request.covered == request.parts.size();
    LogRecord record;
    record.level = whole ? LogLevel::Info : LogLevel::Warning;
    record.step = Step::Answer;
    record.request = request.content->id;
    record.message = toString(answer.kind);
    record.fields = {{"route", request.route->name},
                     {"configuration", std::to_string(request.table->version)},
                     {"elapsed_ms", millis(context.now - request.arrivedAt)},
                     {"target_ms", millis(request.targetAt - request.arrivedAt)},
                     {"limit_ms", millis(request.until - request.arrivedAt)},
                     {"parts", std::to_string(request.covered) + "/" + std::to_string(request.parts.size())}};
    if (request.extras > 0) {
        record.fields.push_back({"extra_sends", std::to_string(request.extras)});
    }
    if (!whole) {
        record.fields.push_back({"missing", missingText(request)});
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
    dropRequest(context, request, OrphanPatience);
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

// True if a searcher may still begin to work on the request.
bool isInFlight(const RunningRequest &request)
{
    return std::any_of(request.parts.begin(), request.parts.end(), [](const PartProgress &part) {
        return !part.waiting.empty();
    });
}

// Answers a request of which not enough arrived.
void finishUnserved(ReduceContext &context, RunningRequest &request, ClientAnswerKind kind, const std::string &reason)
{
    // A fresh searcher or a free connection is usually there within this time.
    constexpr Duration RetryAfter = std::chrono::milliseconds(100);
    if (!request.mayHaveRun && !isInFlight(request)) {
        refuseRunning(context, request, RetryAfter, reason);
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

bool isOver(const PartProgress &part)
{
    return part.covered() || (part.waiting.empty() && !part.queued);
}
}

std::size_t neededParts(const Route &route)
{
    if (!route.scattered()) {
        return 1;
    }
    // A ratio that was written in decimals must not ask for one part more than it means.
    constexpr double Rounding = 1e-9;
    const double needed = std::ceil(route.minimumCoverage * static_cast<double>(route.shards.size()) - Rounding);
    return std::max<std::size_t>(1, static_cast<std::size_t>(std::max(0.0, needed)));
}

bool answerIfDone(ReduceContext &context, RunningRequest &request)
{
    const bool enough = request.covered >= neededParts(*request.route);
    if (request.covered == request.parts.size() || (enough && context.now >= request.targetAt)) {
        finishServed(context, request);
        return true;
    }
    const auto over = static_cast<std::size_t>(std::count_if(request.parts.begin(), request.parts.end(), isOver));
    if (over == request.parts.size()) {
        if (enough) {
            finishServed(context, request);
        } else {
            finishUnserved(context, request, ClientAnswerKind::Failed, "no searcher replied with success");
        }
        return true;
    }
    // Once too many parts are lost, waiting for the others helps nobody.
    if (over - request.covered > request.parts.size() - neededParts(*request.route)) {
        finishUnserved(context, request, ClientAnswerKind::Failed, "too many shards failed");
        return true;
    }
    return false;
}

void answerAtLimit(ReduceContext &context, RunningRequest &request)
{
    if (request.covered >= neededParts(*request.route)) {
        finishServed(context, request);
    } else {
        request.mayHaveRun = request.mayHaveRun || request.offered;
        finishUnserved(context, request, ClientAnswerKind::TimedOut, "the time for the request is over");
    }
}

void refuseRunning(ReduceContext &context, RunningRequest &request, Duration retryAfter, const std::string &reason)
{
    ClientAnswer answer;
    answer.kind = ClientAnswerKind::Refused;
    answer.retryAfter = retryAfter;
    answer.reason = reason;
    finish(context, request, std::move(answer));
}

void answerAtOnce(ReduceContext &context, QueryId id, const ClientRequest &content, const Route *route, ClientAnswer answer)
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

void dropRequest(ReduceContext &context, RunningRequest &request, Duration patience)
{
    for (PartProgress &part : request.parts) {
        orphanAttempts(context, part, patience);
    }
    context.state.routing.requests.erase(request.id);
    reportStopped(context);
}
}
