#include "quetzallift/app/log.h"

#include "quetzallift/app/logoutput.h"
#include "quetzallift/model/time.h"

#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <array>
#include <ctime>

namespace Quetzallift
{
namespace
{
const char *levelName(LogLevel level)
{
    switch (level) {
    case LogLevel::Info:
        return "info";
    case LogLevel::Warning:
        return "warning";
    case LogLevel::Error:
        break;
    }
    return "error";
}

// The time in UTC with milliseconds, in the form of RFC 3339.
std::string timestamp(WallTime time)
{
    const auto seconds = std::chrono::floor<std::chrono::seconds>(time);
    const auto millis = std::chrono::floor<std::chrono::milliseconds>(time - seconds);
    const std::time_t calendar = std::chrono::system_clock::to_time_t(seconds);
    std::tm utc{};
    gmtime_r(&calendar, &utc);
    std::array<char, 32> text{};
    std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &utc);
    std::array<char, 8> fraction{};
    std::snprintf(fraction.data(), fraction.size(), ".%03dZ", static_cast<int>(millis.count()));
    return std::string(text.data()) + fraction.data();
}

// One JSON object on a line of its own.
std::string encodeLine(const LogRecord &record, const std::string &host, const std::string &bundle)
{
    nlohmann::ordered_json line = {
        {"time", timestamp(std::chrono::system_clock::now())},
        {"level", levelName(record.level)},
        {"host", host},
        {"step", toString(record.step)},
    };
    if (!record.peer.empty()) {
        line["peer"] = record.peer;
    }
    if (!record.request.empty()) {
        line["request"] = record.request;
    }
    if (!bundle.empty()) {
        line["bundle"] = bundle;
    }
    line["message"] = record.message;
    for (const LogField &field : record.fields) {
        line[field.name] = field.value;
    }
    return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + '\n';
}
}

void startLog(const char *program)
{
    FLAGS_logtostderr = true;
    FLAGS_log_prefix = false;
    google::InitGoogleLogging(program);
}

void writeLog(const LogRecord &record, const std::string &host, const std::string &bundle)
{
    static LogOutput output;
    if (!output.admit(record.level)) {
        return;
    }
    if (const std::uint64_t dropped = output.takeDropped()) {
        LogRecord notice{LogLevel::Warning, Step::Answer, {}, {}, "log lines were dropped", {}};
        notice.fields = {{"dropped", std::to_string(dropped)}};
        output.write(encodeLine(notice, host, bundle));
    }
    output.write(encodeLine(record, host, bundle));
}
}
