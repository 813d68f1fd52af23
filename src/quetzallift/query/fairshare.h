#pragma once

#include "quetzallift/model/time.h"

#include <string>

namespace Quetzallift
{
struct BackEndLoad;

// The result of checking a query against the concurrency limit of its back end.
enum class LimitDecision {
    Admitted,
    // The whole limit is in use, and the caller is within its share or is the only active caller.
    BackEndFull,
    // The caller would exceed its share, and the rest is reserved for other active callers.
    OverShare,
};

// Records the arrival of a query; its caller counts as active for some time.
void recordArrival(BackEndLoad &load, const std::string &caller, double share, TimePoint now);

// Checks whether one more query of the caller may run. A caller within its share is admitted, even if the back end
// is slightly above its limit; beyond its share it may borrow capacity that other active callers are not expected to need.
LimitDecision checkFairShare(const BackEndLoad &load, const std::string &caller, TimePoint now);

// Counts a query of the caller as running and returns its virtual start time for start-time fair queueing: the queries of
// a caller that sends more than its share are queued behind its own earlier ones, not ahead of other callers' queries.
double startFairQuery(BackEndLoad &load, const std::string &caller);

// Removes a query that started at the given virtual time from the running ones.
void endFairQuery(BackEndLoad &load, const std::string &caller, double startTag);
}
