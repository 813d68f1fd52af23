#pragma once

#include "quetzallift/model/time.h"

#include <string>

namespace Quetzallift
{
struct BackEndLoad;

// Why a back end's limit keeps a caller's query out.
enum class LimitVerdict {
    Admitted,
    // The whole limit is in use and the caller has its share of it.
    BackEndFull,
    // The caller has more than its share, and the rest is kept for callers that use theirs.
    OverShare,
};

// Notes an arrival of a caller, which counts as active for a while.
void noteArrival(BackEndLoad &load, const std::string &caller, double share, TimePoint now);

// Whether one more query of the caller may run. A caller within its share is admitted; beyond it, it may borrow what
// other active callers are not expected to need.
LimitVerdict fairVerdict(const BackEndLoad &load, const std::string &caller, TimePoint now);

// Counts a query of the caller as running and returns its virtual start time: start-time fair queueing, by which a
// caller that sends more than its share queues behind itself and not in front of others.
double startFairly(BackEndLoad &load, const std::string &caller);

// Ends a query that started at a virtual time.
void endFairly(BackEndLoad &load, const std::string &caller, double startTag);
}
