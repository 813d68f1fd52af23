#include "quetzallift/routing/searcherhealth.h"

#include "quetzallift/core/reducecontext.h"

#include <algorithm>

namespace Quetzallift
{
namespace
{
// One failure may be a connection that closed while idle; three in a row are not.
constexpr unsigned FailuresBeforeRest = 3;
constexpr Duration FirstRest = std::chrono::milliseconds(500);
// The rest doubles up to 4 s, so that a searcher that is back gets work again before clients notice the missing capacity.
constexpr unsigned MaximumDoublings = 3;

void rest(ReduceContext &context, SearcherLoad &searcher, const std::string &cause)
{
    const Duration length = FirstRest * (1U << std::min(searcher.rests, MaximumDoublings));
    ++searcher.rests;
    searcher.restsUntil = context.now + length;
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(length).count();
    context.emit(CountMetric{Metric::Ejections, "errors"});
    context.emit(CloseIdleConnections{searcher.entry.id});
    context.emit(WriteLog{{LogLevel::Warning,
                           Step::Wait,
                           searcher.entry.id,
                           {},
                           "searcher rests",
                           {{"service", searcher.entry.service},
                            {"address", searcher.entry.address},
                            {"cause", cause},
                            {"failures_in_a_row", std::to_string(searcher.failuresInARow)},
                            {"rest_ms", std::to_string(millis)}}}});
}
}

void noteSuccess(ReduceContext &context, SearcherLoad &searcher, Duration latency)
{
    searcher.latency.add(latency, context.now);
    searcher.errors.add(0.0, context.now);
    searcher.lastReplyAt = context.now;
    searcher.failuresInARow = 0;
    if (searcher.rests > 0) {
        searcher.rests = 0;
        searcher.restsUntil = {};
        context.emit(WriteLog{{LogLevel::Info, Step::Wait, searcher.entry.id, {}, "searcher replies again", {{"service", searcher.entry.service}}}});
    }
}

void noteShed(ReduceContext &context, SearcherLoad &searcher)
{
    searcher.errors.add(1.0, context.now);
    searcher.lastReplyAt = context.now;
    context.emit(CountMetric{Metric::ShedSubRequests, searcher.entry.service});
}

void noteFailedAttempt(ReduceContext &context, SearcherLoad &searcher, const std::string &cause)
{
    searcher.errors.add(1.0, context.now);
    ++searcher.failuresInARow;
    const bool resting = context.now < searcher.restsUntil;
    if (!resting && (searcher.rests > 0 || searcher.failuresInARow >= FailuresBeforeRest)) {
        rest(context, searcher, cause);
    }
}

void noteSilence(ReduceContext &context, SearcherLoad &searcher)
{
    searcher.errors.add(1.0, context.now);
    ++searcher.failuresInARow;
    if (context.now >= searcher.restsUntil) {
        rest(context, searcher, "no reply");
    }
}
}
