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

// An input of a decision, with its name.
struct LogField {
    std::string name;
    std::string value;
};

// One line of the log. Empty fields are left out of the line.
struct LogRecord {
    LogLevel level = LogLevel::Info;
    Step step = Step::Answer;
    std::string peer;
    std::string request;
    std::string message;
    // What decided, with its age or version.
    std::vector<LogField> fields = {};
};
}
