#pragma once

#include "quetzallift/model/ids.h"
#include "quetzallift/model/time.h"

#include <compare>

namespace Quetzallift
{
// The place of a sub-request in the queue of its searcher.
struct QueuePosition {
    // The virtual start time of the query, which orders callers by their shares and the queries of one by arrival.
    double startTag = 0.0;
    TimePoint deadline;
    AttemptId attempt;

    auto operator<=>(const QueuePosition &) const = default;
};
}
