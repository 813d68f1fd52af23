#include "quetzallift/query/admit.h"

#include "quetzallift/core/reducecontext.h"

namespace Quetzallift
{
namespace
{
// Why the query may not run, or empty if it may.
std::string admissionError(const QueryState &state, const QueryRequest &request)
{
    if (state.stopping) {
        return "this entry host is leaving";
    }
    if (!state.control || !state.control->bundle) {
        return "no bundle is in force on this entry host";
    }
    const Bundle &bundle = *state.control->bundle;
    const CallerPolicy *caller = bundle.caller(request.caller);
    if (caller == nullptr) {
        return "caller '" + request.caller + "' is not in the bundle";
    }
    if (bundle.backEnd(request.backEnd) == nullptr) {
        return "back end '" + request.backEnd + "' is not in the bundle";
    }
    if (!caller->mayQuery(request.backEnd)) {
        return "caller '" + request.caller + "' may not query back end '" + request.backEnd + "'";
    }
    if (request.deadline > bundle.backEnd(request.backEnd)->policy.maximumDeadline) {
        return "the deadline exceeds the maximum of back end '" + request.backEnd + "'";
    }
    return {};
}
}

void refuse(ReduceContext &context, QueryId query, Step step, const std::string &reason)
{
    QueryAnswer answer;
    answer.status = AnswerStatus::Refused;
    answer.execution = Execution::NotRun;
    answer.error = reason;
    answer.errorStep = step;
    if (context.state.query.control) {
        answer.generation = context.state.query.control->generation;
    }
    context.emit(CountMetric{Metric::Answers, toString(answer.status)});
    context.emit(SendAnswer{query, std::move(answer)});
}

bool admit(ReduceContext &context, const QueryArrived &event)
{
    const std::string error = admissionError(context.state.query, event.request);
    if (error.empty()) {
        return true;
    }
    refuse(context, event.query, Step::Admit, error);
    return false;
}
}
