#pragma once

#include "quetzallift/model/step.h"

#include <string>
#include <vector>

namespace Quetzallift
{
enum class LogLevel {
    Info,
    Warning,
    Error,
};

// A named input of a decision.
struct LogField {
    std::string name;
    std::string value;
};

// One line of the log. Empty members are omitted from the line.
struct LogRecord {
    LogLevel level = LogLevel::Info;
    Step step = Step::Answer;
    std::string peer;
    std::string request;
    std::string message;
    // The inputs of the decision, with their age or version.
    std::vector<LogField> fields = {};
};
}
