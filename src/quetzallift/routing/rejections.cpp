#include "quetzallift/routing/rejections.h"

#include "quetzallift/core/reducecontext.h"
#include "quetzallift/routing/handlers.h"

namespace Quetzallift
{
void handleClientRejected(ReduceContext &context, const ClientRejected &event)
{
    // Clients that do not stay within the limits must not fill the log.
    constexpr Duration LogInterval = std::chrono::seconds(10);
    context.emit(CountMetric{Metric::ClientRejections, rejectionName(event.reason)});
    Rejections &rejections = context.state.routing.rejections;
    ++rejections.counts[event.reason];
    if (context.now < rejections.nextLogAt) {
        return;
    }
    LogRecord record{LogLevel::Warning, Step::Admit, {}, {}, "clients were rejected", {}};
    for (const auto &[reason, count] : rejections.counts) {
        record.fields.push_back({rejectionName(reason), std::to_string(count)});
    }
    context.emit(WriteLog{record});
    rejections = {{}, context.now + LogInterval};
}
}
