#pragma once

#include "quetzallift/model/queryanswer.h"
#include "quetzallift/model/servicecounts.h"
#include "quetzallift/query/events.h"

#include <unordered_map>

namespace Quetzallift
{
struct ReduceContext;

// Data of a query that is kept until its answer is counted.
struct ServiceEntry {
    ServiceKey key;
    TimePoint arrivedAt;
};

// Unanswered queries, and the service counts of a traffic thread since its last report.
struct ServiceState {
    std::unordered_map<QueryId, ServiceEntry> open;
    ServiceTable table;
    bool reporting = false;
};

// Stores a query's key and arrival time until it is answered.
void trackQuery(ReduceContext &context, const QueryArrived &event);

// Counts the answers and sub-requests among the effects of an event.
void countService(ReduceContext &context);

// Reports the counts to the control thread and starts the timer of the next report.
void reportService(ReduceContext &context);
}
