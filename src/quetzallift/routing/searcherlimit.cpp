#include "quetzallift/routing/searcherlimit.h"

#include "quetzallift/core/reducecontext.h"
#include "quetzallift/routing/dispatch.h"
#include "quetzallift/routing/searcherchoice.h"

#include <algorithm>

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

void logLimit(ReduceContext &context, const SearcherLoad &searcher, const char *message, std::optional<double> perSecond)
{
    const unsigned hosts = context.state.routing.hosts;
    context.emit(WriteLog{
        {LogLevel::Warning,
         Step::Wait,
         searcher.entry.id,
         {},
         message,
         {{"service", searcher.entry.service}, {"requests_per_second", perSecond ? std::to_string(*perSecond) : "none"}, {"hosts", std::to_string(hosts)}}}});
}
}

void recordLimit(ReduceContext &context, SearcherLoad &searcher, std::optional<double> perSecond)
{
    if (!perSecond) {
        if (searcher.pace) {
            searcher.pace.reset();
            logLimit(context, searcher, "the searcher no longer limits its requests", perSecond);
        }
        return;
    }
    if (!searcher.pace) {
        searcher.pace.emplace();
        context.emit(CountMetric{Metric::SearcherLimits, searcher.entry.service});
        logLimit(context, searcher, "the searcher limits its requests", perSecond);
    }
    const RoutingState &state = context.state.routing;
    const double senders = static_cast<double>(std::max(1U, state.hosts)) * std::max(1U, state.threads);
    searcher.pace->setRate(std::max(*perSecond, MinimumRequestsPerSecond) / senders, randomPart(context), context.now);
}

TimePoint earliestSend(const ServiceLoad &service, TimePoint now)
{
    TimePoint earliest = TimePoint::max();
    const double before = static_cast<double>(service.queue.size()) / static_cast<double>(std::max<std::size_t>(1, service.searchers.size()));
    for (const SearcherLoadPtr &searcher : service.searchers) {
        if (mayReceiveRequests(*searcher)) {
            earliest = std::min(earliest, searcher->pace ? searcher->pace->nextAt(now, before) : now);
        }
    }
    return earliest;
}

void schedulePacedSend(ReduceContext &context, const ServiceLoad &service)
{
    RoutingState &state = context.state.routing;
    TimePoint next = TimePoint::max();
    for (const SearcherLoadPtr &searcher : service.searchers) {
        if (mayReceiveRequests(*searcher) && searcher->pace && !searcher->pace->allows(context.now)) {
            next = std::min(next, searcher->pace->nextAt(context.now));
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
