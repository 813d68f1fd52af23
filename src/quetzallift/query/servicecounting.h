#pragma once

#include "quetzallift/model/queryanswer.h"
#include "quetzallift/model/servicecounts.h"
#include "quetzallift/query/events.h"

#include <unordered_map>

namespace Quetzallift
{
struct ReduceContext;

// What has to be known of a query until its answer is counted.
struct ServiceEntry {
    ServiceKey key;
    TimePoint arrivedAt;
};

// The service that a traffic thread gave since it last reported.
struct ServiceState {
    std::unordered_map<QueryId, ServiceEntry> open;
    ServiceTable table;
    bool reporting = false;
};

// Remembers a query until it is answered.
void openService(ReduceContext &context, const QueryArrived &event);

// Counts the answers and sub-requests among the effects of an event.
void countService(ReduceContext &context);

// Hands the counts to the control thread and starts the timer of the next report.
void reportService(ReduceContext &context);
}
