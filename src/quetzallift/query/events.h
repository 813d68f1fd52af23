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

// The caller closed its connection before it received the answer.
struct QueryAbandoned {
    QueryId query;
};

// A searcher's reply and the attempt on whose connection it arrived.
struct SubReplyArrived {
    AttemptId attempt;
    SubReply reply;
};

// A sub-request ended without a usable reply.
struct SubRequestFailed {
    AttemptId attempt;
    Failure failure;
    // False only if no byte of the request was sent.
    bool sent = true;
};

// Result of a health probe of a searcher; a probe without a reply is unhealthy.
struct SearcherProbed {
    std::string searcher;
    // True only if the searcher reports that it accepts work.
    bool healthy = false;
};

// The control thread published new decisions.
struct ControlSnapshotPublished {
    ControlSnapshotPtr snapshot;
};

enum class ClaimResult {
    // This host holds the claim and may execute the request once.
    Granted,
    // The request finished earlier and its answer is recorded.
    Finished,
    // The request was claimed earlier and its outcome is not known.
    InDoubt,
    // The id was used for a request with other content.
    Mismatch,
    // The claim is known not to exist.
    NotClaimed,
};

// The control thread determined the result of a requested claim.
struct ClaimSettled {
    QueryId query;
    ClaimResult result = ClaimResult::NotClaimed;
    std::string recordedAnswer;
    std::string detail;
};
}
