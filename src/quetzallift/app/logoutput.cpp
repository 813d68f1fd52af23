#include "quetzallift/app/logoutput.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

namespace Quetzallift
{
namespace
{
// A busy host answers about 50 requests a second and writes a line for each; ten times as many lines are a fault that
// repeats itself.
constexpr double LinesPerSecond = 500.0;
constexpr double RoutineLinesPerSecond = 300.0;
constexpr double BurstSeconds = 2.0;
}

LogOutput::LogOutput()
    : m_lines(LinesPerSecond * BurstSeconds)
    , m_routineLines(RoutineLinesPerSecond * BurstSeconds)
    , m_refilledAt(Clock::now())
{
    struct stat status {
    };
    // A terminal is shared with other programs, which expect it to block; only the reader of a pipe can hold up this one.
    if (fstat(STDOUT_FILENO, &status) == 0 && (S_ISFIFO(status.st_mode) || S_ISSOCK(status.st_mode))) {
        fcntl(STDOUT_FILENO, F_SETFL, fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
    }
}

bool LogOutput::admit(LogLevel level)
{
    const std::lock_guard lock(m_mutex);
    const TimePoint now = Clock::now();
    const double seconds = std::chrono::duration<double>(now - m_refilledAt).count();
    m_refilledAt = now;
    m_lines.deposit(LinesPerSecond * seconds);
    m_routineLines.deposit(RoutineLinesPerSecond * seconds);
    const bool routine = level == LogLevel::Info;
    if ((routine && !m_routineLines.take()) || !m_lines.take()) {
        ++m_dropped;
        return false;
    }
    return true;
}

void LogOutput::write(const std::string &line)
{
    const std::lock_guard lock(m_mutex);
    if (!m_rest.empty()) {
        const ssize_t size = ::write(STDOUT_FILENO, m_rest.data(), m_rest.size());
        m_rest.erase(0, size > 0 ? static_cast<std::size_t>(size) : 0);
        if (!m_rest.empty()) {
            ++m_dropped;
            return;
        }
    }
    const ssize_t size = ::write(STDOUT_FILENO, line.data(), line.size());
    if (size <= 0) {
        ++m_dropped;
    } else {
        m_rest = line.substr(static_cast<std::size_t>(size));
    }
}

std::uint64_t LogOutput::takeDropped()
{
    const std::lock_guard lock(m_mutex);
    const std::uint64_t dropped = m_dropped;
    m_dropped = 0;
    return dropped;
}
}
