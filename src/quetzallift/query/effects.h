#pragma once

#include "quetzallift/model/ids.h"
#include "quetzallift/model/metric.h"
#include "quetzallift/model/queryanswer.h"
#include "quetzallift/model/servicecounts.h"
#include "quetzallift/model/subrequest.h"

#include <string>

namespace Quetzallift
{
// Sends a sub-request to a searcher.
struct SendSubRequest {
    AttemptId attempt;
    std::string searcher;
    SubRequest request;
};

// Closes the connection of a sub-request, which tells the searcher to stop.
struct CancelSubRequest {
    AttemptId attempt;
};

// Answers the caller.
struct SendAnswer {
    QueryId query;
    QueryAnswer answer;
};

// Answers the caller with the answer recorded for the same request earlier.
struct SendRecordedAnswer {
    QueryId query;
    std::string answer;
};

// Asks the control thread for the claim of a request that may not be repeated.
struct RequestClaim {
    QueryId query;
    std::string object;
    std::string fingerprint;
    Duration timeout = std::chrono::seconds(1);
};

// Asks the control thread to record the answer of a claimed request.
struct RecordOutcome {
    std::string object;
    QueryAnswer answer;
};

// Gives the control thread what was counted since the last report.
struct ReportService {
    ServiceTable table;
};

// Tells the control thread that no query is left.
struct ReportStopped {
};
}
