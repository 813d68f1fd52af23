#pragma once

#include "quetzallift/model/time.h"

#include <cstddef>
#include <string>

namespace Quetzallift
{
// A caller's query.
struct QueryRequest {
    // Chosen by the caller; unique among its requests.
    std::string requestId;
    std::string caller;
    std::string backEnd;
    // Selects rows with exactly this key, if not empty.
    std::string key;
    // Selects rows that contain this text, if the key is empty.
    std::string text;
    // Maximum time from arrival at the entry host to the answer.
    Duration deadline = std::chrono::milliseconds(500);
    // Minimum share of the data's weight that a useful answer covers.
    double minimumCoverage = 1.0;
    // False for a request that must run at most once.
    bool repeatable = true;
    // Maximum number of rows in the answer.
    std::size_t limit = 1000;
};
}
