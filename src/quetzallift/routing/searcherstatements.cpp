#include "quetzallift/routing/searcherstatements.h"

#include "quetzallift/core/reducecontext.h"
#include "quetzallift/routing/dispatch.h"
#include "quetzallift/routing/searcherchoice.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace Quetzallift
{
namespace
{
// A searcher that states a lower limit still gets one request in 2 s from all hosts together: without any reply the hosts
// would not learn that the limit has ended.
constexpr double MinimumRequestsPerSecond = 0.5;

// A random part of a request.
double randomPart(const ReduceContext &context)
{
    constexpr std::uint64_t Steps = 1U << 24U;
    return static_cast<double>(context.state.hooks.random() % Steps) / static_cast<double>(Steps);
}

void logStatement(ReduceContext &context, const SearcherLoad &searcher, const char *message, std::vector<LogField> details)
{
    details.insert(details.begin(), {"service", searcher.entry.service});
    context.emit(WriteLog{{LogLevel::Warning, Step::Wait, searcher.entry.id, {}, message, std::move(details)}});
}

void recordLimit(ReduceContext &context, SearcherLoad &searcher, std::optional<double> perSecond)
{
    if (!perSecond) {
        if (searcher.pace) {
            searcher.pace.reset();
            logStatement(context, searcher, "the searcher no longer limits its requests", {});
        }
        return;
    }
    const RoutingState &state = context.state.routing;
    if (!searcher.pace) {
        searcher.pace.emplace();
        context.emit(CountMetric{Metric::SearcherLimits, searcher.entry.service});
        logStatement(context,
                     searcher,
                     "the searcher limits its requests",
                     {{"requests_per_second", std::to_string(*perSecond)}, {"fleet_share", std::to_string(state.fleetShare)}});
    }
    const double part = state.fleetShare / std::max(1U, state.threads);
    searcher.pace->setRate(std::max(*perSecond, MinimumRequestsPerSecond) * part, randomPart(context), context.now);
}

void recordRefusal(ReduceContext &context, SearcherLoad &searcher, Duration refusesFor)
{
    const bool refusing = context.now < searcher.refusesUntil;
    // Replies to requests that were sent together may state different times; each of them holds.
    searcher.refusesUntil = std::max(searcher.refusesUntil, context.now + refusesFor);
    searcher.returning = true;
    if (!refusing) {
        const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(refusesFor).count();
        context.emit(CountMetric{Metric::SearcherRefusals, searcher.entry.service});
        logStatement(context, searcher, "the searcher takes no requests for some time", {{"for_ms", std::to_string(millis)}});
    }
}

void recordLeaving(ReduceContext &context, SearcherLoad &searcher)
{
    if (searcher.leaving) {
        return;
    }
    searcher.leaving = true;
    context.emit(CountMetric{Metric::SearchersDraining, "reply"});
    context.emit(CloseIdleConnections{searcher.entry.id});
    logStatement(context, searcher, "the searcher is leaving; no more requests are sent to it", {});
}
}

void recordStatement(ReduceContext &context, SearcherLoad &searcher, const SearcherStatement &statement)
{
    recordLimit(context, searcher, statement.requestLimit);
    if (statement.refusesFor) {
        recordRefusal(context, searcher, *statement.refusesFor);
    }
    if (statement.leaving) {
        recordLeaving(context, searcher);
    }
}

TimePoint nextSend(const SearcherLoad &searcher, TimePoint now, double before)
{
    const TimePoint paced = searcher.pace ? searcher.pace->nextAt(now, before) : now;
    return std::max(paced, searcher.refusesUntil);
}

TimePoint earliestSend(const ServiceLoad &service, TimePoint now)
{
    TimePoint earliest = TimePoint::max();
    const double before = static_cast<double>(service.queue.size()) / static_cast<double>(std::max<std::size_t>(1, service.searchers.size()));
    for (const SearcherLoadPtr &searcher : service.searchers) {
        if (mayReceiveRequests(*searcher)) {
            earliest = std::min(earliest, nextSend(*searcher, now, before));
        }
    }
    return earliest;
}

void schedulePacedSend(ReduceContext &context, const ServiceLoad &service)
{
    RoutingState &state = context.state.routing;
    TimePoint next = TimePoint::max();
    for (const SearcherLoadPtr &searcher : service.searchers) {
        const TimePoint allowed = nextSend(*searcher, context.now);
        if (mayReceiveRequests(*searcher) && allowed > context.now) {
            next = std::min(next, allowed);
        }
    }
    if (next != TimePoint::max() && (!state.pacedSendAt || next < *state.pacedSendAt)) {
        state.pacedSendAt = next;
        context.emit(StartTimer{{TimerKind::PacedSend, 0}, next});
    }
}

void sendPacedParts(ReduceContext &context)
{
    RoutingState &state = context.state.routing;
    if (!state.pacedSendAt || context.now < *state.pacedSendAt) {
        return;
    }
    state.pacedSendAt.reset();
    for (auto &[name, service] : state.services) {
        sendQueuedParts(context, service);
    }
}
}
