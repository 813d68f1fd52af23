#pragma once

#include "quetzallift/model/time.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <vector>

namespace Load
{
// How one query ended for its caller.
enum class End {
    Whole,
    Partial,
    Refused,
    Failed,
    // An answer whose rows or coverage are not those of the data.
    Wrong,
    // An answer that covers less than it says.
    SilentPartial,
    // No answer although the caller tried every host that it may try.
    Lost,
    // A closed connection after a request that may not be repeated: the caller knows that the outcome is not known.
    Unknown,
};

// Counts and latencies of the queries of one caller, or of all.
class Tally
{
public:
    // Notes a query by the time since the start of the run at which it was due.
    void add(End end, Quetzallift::Duration due, Quetzallift::Duration latency, Quetzallift::Duration deadline, bool measured);
    void add(const Tally &other);

    // Notes the coverage ratio that an answer names.
    void addCoverage(double ratio);

    // All figures; latencies in milliseconds of whole and partial answers.
    nlohmann::json summary() const;

private:
    struct Second {
        std::uint64_t offered = 0;
        // Right answers within the deadline.
        std::uint64_t good = 0;
        std::uint64_t whole = 0;
        Quetzallift::Duration slowest = Quetzallift::Duration::zero();
    };

    Second &secondAt(Quetzallift::Duration due);

    std::vector<std::uint64_t> m_ends = std::vector<std::uint64_t>(8, 0);
    std::uint64_t m_late = 0;
    double m_coverageSum = 0.0;
    std::uint64_t m_coverageCount = 0;
    // In milliseconds, sorted when the summary is made.
    std::vector<double> m_latencies;
    std::vector<Second> m_seconds;
};
}
