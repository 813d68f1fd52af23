#pragma once

#include "quetzallift/model/ids.h"
#include "quetzallift/model/time.h"

#include <compare>

namespace Quetzallift
{
// Sort key of a sub-request in the queue of its searcher.
struct QueuePosition {
    // Virtual start time of the query; orders callers by their shares and the queries of one caller by arrival.
    double startTag = 0.0;
    TimePoint deadline;
    AttemptId attempt;

    auto operator<=>(const QueuePosition &) const = default;
};
}
