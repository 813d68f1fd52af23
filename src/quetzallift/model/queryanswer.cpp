#include "quetzallift/model/queryanswer.h"

namespace Quetzallift
{
const char *toString(AnswerStatus status)
{
    switch (status) {
    case AnswerStatus::Whole:
        return "whole";
    case AnswerStatus::Partial:
        return "partial";
    case AnswerStatus::Failed:
        return "failed";
    case AnswerStatus::Refused:
        return "refused";
    }
    return "unknown";
}

const char *toString(Execution execution)
{
    switch (execution) {
    case Execution::NotRun:
        return "not_run";
    case Execution::Ran:
        return "ran";
    case Execution::MayHaveRun:
        return "may_have_run";
    case Execution::InDoubt:
        return "in_doubt";
    }
    return "unknown";
}

double Coverage::ratio() const
{
    if (weightTotal == 0) {
        return 0.0;
    }
    return static_cast<double>(weightCovered) / static_cast<double>(weightTotal);
}
}
