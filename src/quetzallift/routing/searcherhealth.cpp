#include "quetzallift/routing/searcherhealth.h"

#include "quetzallift/core/reducecontext.h"

#include <algorithm>

namespace Quetzallift
{
namespace
{
// A single failure may be a connection that closed while idle; three consecutive failures are not.
constexpr unsigned FailuresBeforeEjection = 3;
constexpr Duration FirstEjectionTime = std::chrono::milliseconds(500);
// The ejection time doubles up to 4 s, so that a recovered searcher gets requests again before clients notice the
// missing capacity.
constexpr unsigned MaximumDoublings = 3;

void eject(ReduceContext &context, SearcherLoad &searcher, const std::string &cause)
{
    const Duration length = FirstEjectionTime * (1U << std::min(searcher.consecutiveEjections, MaximumDoublings));
    ++searcher.consecutiveEjections;
    searcher.ejectedUntil = context.now + length;
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(length).count();
    context.emit(CountMetric{Metric::Ejections, "errors"});
    context.emit(CloseIdleConnections{searcher.entry.id});
    context.emit(WriteLog{{LogLevel::Warning,
                           Step::Wait,
                           searcher.entry.id,
                           {},
                           "searcher ejected",
                           {{"service", searcher.entry.service},
                            {"address", searcher.entry.address},
                            {"cause", cause},
                            {"failures_in_a_row", std::to_string(searcher.consecutiveFailures)},
                            {"rest_ms", std::to_string(millis)}}}});
}
}

void recordSuccess(ReduceContext &context, SearcherLoad &searcher, Duration latency)
{
    searcher.latency.add(latency, context.now);
    searcher.errors.add(0.0, context.now);
    searcher.lastReplyAt = context.now;
    searcher.consecutiveFailures = 0;
    searcher.returning = false;
    if (searcher.consecutiveEjections > 0) {
        searcher.consecutiveEjections = 0;
        searcher.ejectedUntil = {};
        context.emit(WriteLog{{LogLevel::Info, Step::Wait, searcher.entry.id, {}, "searcher recovered", {{"service", searcher.entry.service}}}});
    }
}

void recordShed(ReduceContext &context, SearcherLoad &searcher)
{
    searcher.errors.add(1.0, context.now);
    searcher.lastReplyAt = context.now;
    context.emit(CountMetric{Metric::ShedSubRequests, searcher.entry.service});
}

void recordFailedAttempt(ReduceContext &context, SearcherLoad &searcher, const std::string &cause)
{
    searcher.errors.add(1.0, context.now);
    ++searcher.consecutiveFailures;
    const bool ejected = context.now < searcher.ejectedUntil;
    if (!ejected && (searcher.consecutiveEjections > 0 || searcher.consecutiveFailures >= FailuresBeforeEjection)) {
        eject(context, searcher, cause);
    }
}

void recordSilence(ReduceContext &context, SearcherLoad &searcher)
{
    searcher.errors.add(1.0, context.now);
    ++searcher.consecutiveFailures;
    if (context.now >= searcher.ejectedUntil) {
        eject(context, searcher, "no reply");
    }
}
}
