#pragma once

#include "quetzallift/model/logrecord.h"
#include "quetzallift/model/time.h"
#include "quetzallift/query/tokenbucket.h"

#include <cstdint>
#include <mutex>
#include <string>

namespace Quetzallift
{
// Writes log lines to standard output without ever waiting for its reader. Lines beyond a rate, and those that find the
// pipe full, are dropped and counted; lines about normal operation are dropped first.
class LogOutput
{
public:
    LogOutput();

    // Whether a line of this level may be written now; false counts it as dropped. To be asked before the line is made.
    bool admit(LogLevel level);

    // Writes a line that was admitted.
    void write(const std::string &line);

    // The lines dropped since the last call.
    std::uint64_t takeDropped();

private:
    std::mutex m_mutex;
    TokenBucket m_lines;
    // Only lines above the lowest level use what is left below this bucket's limit.
    TokenBucket m_routineLines;
    TimePoint m_refilledAt;
    std::uint64_t m_dropped = 0;
    // The rest of a line that was written in part.
    std::string m_rest;
};
}
