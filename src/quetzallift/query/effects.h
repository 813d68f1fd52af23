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
    // True if the connection must not be used again after this sub-request.
    bool closeAfter = false;
};

// Sends a health probe to a searcher. SearcherProbed reports the result.
struct ProbeSearcher {
    std::string searcher;
    Duration timeout = std::chrono::seconds(1);
};

// Cancels a sub-request by closing its connection, which makes the searcher stop processing it.
struct CancelSubRequest {
    AttemptId attempt;
};

// Sends the answer to the caller.
struct SendAnswer {
    QueryId query;
    QueryAnswer answer;
};

// Sends the caller the answer that was recorded for an earlier execution of the same request.
struct SendRecordedAnswer {
    QueryId query;
    std::string answer;
};

// Requests the claim for a non-repeatable request from the control thread.
struct RequestClaim {
    QueryId query;
    std::string object;
    std::string fingerprint;
    Duration timeout = std::chrono::seconds(1);
};

// Requests that the control thread records the answer of a claimed request.
struct RecordOutcome {
    std::string object;
    QueryAnswer answer;
};

// Reports the service counts since the last report to the control thread.
struct ReportService {
    ServiceTable table;
};

// Reports to the control thread that this thread has stopped: nothing is running, or the rest was cut off.
struct ReportStopped {
    // Number of queries that were dropped without an answer.
    unsigned cutOff = 0;
};

// Reports to the control thread that this thread uses no more connections than the shares of an epoch allow.
struct ReportSharesApplied {
    std::uint64_t epoch = 0;
};
}
