#pragma once

#include <nlohmann/json_fwd.hpp>

#include <set>
#include <string>

namespace StandIns
{
// The faults of one searcher. Shares are of the replies, from 0 to 1.
struct SearcherFaults {
    // Takes requests and never answers.
    bool silent = false;
    // Data centres whose hosts get no answer, as if the link were cut.
    std::set<std::string> cutFrom;
    double loseReply = 0.0;
    double resetConnection = 0.0;
    // Replies for a snapshot other than the one asked for.
    double wrongSnapshot = 0.0;
    // Replies that carry the identity of the request before.
    double crossed = 0.0;
    // Replies without rows that say so, and replies whose body is cut off.
    double truncated = 0.0;
    double cutBody = 0.0;

    // Takes over the fields that the settings have.
    void update(const nlohmann::json &settings);
};
}
