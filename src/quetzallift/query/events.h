#pragma once

#include "quetzallift/model/controlsnapshot.h"
#include "quetzallift/model/failure.h"
#include "quetzallift/model/ids.h"
#include "quetzallift/model/platform.h"
#include "quetzallift/model/queryrequest.h"
#include "quetzallift/model/subrequest.h"

namespace Quetzallift
{
// A caller posted a well-formed query.
struct QueryArrived {
    QueryId query;
    QueryRequest request;
};

// The caller closed its connection before the answer.
struct QueryAbandoned {
    QueryId query;
};

// A searcher's reply, under the attempt whose connection it came on.
struct SubReplyArrived {
    AttemptId attempt;
    SubReply reply;
};

// A sub-request ended without a usable reply.
struct SubRequestFailed {
    AttemptId attempt;
    Failure failure;
    // False only if no byte of the request left this host.
    bool sent = true;
};

// A searcher's health page answered, or did not.
struct SearcherProbed {
    std::string searcher;
    // True only if the searcher says that it takes work.
    bool healthy = false;
};

// The control thread published new decisions.
struct ControlSnapshotPublished {
    ControlSnapshotPtr snapshot;
};

enum class ClaimResult {
    // This host holds the claim and may send the request once.
    Granted,
    // The request finished earlier; its answer is recorded.
    Finished,
    // The request was claimed earlier and its outcome is not known.
    InDoubt,
    // The id was used for a request with other content.
    Mismatch,
    // The claim was certainly not made.
    NotClaimed,
};

// The control thread knows the outcome of a claim.
struct ClaimSettled {
    QueryId query;
    ClaimResult result = ClaimResult::NotClaimed;
    std::string recordedAnswer;
    std::string detail;
};
}
