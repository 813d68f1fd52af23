#pragma once

#include "quetzallift/core/timerkey.h"
#include "quetzallift/model/ids.h"
#include "quetzallift/model/peermessage.h"
#include "quetzallift/model/platform.h"
#include "quetzallift/model/servicecounts.h"

#include <string>

namespace Quetzallift
{
// The process has started and its settings are loaded.
struct Started {
};

// The platform answered a call, or the call failed.
struct PlatformReplied {
    PlatformCallId call;
    PlatformReply reply;
};

// A traffic thread requests a claim for a request that is not idempotent.
struct ClaimRequested {
    unsigned thread = 0;
    QueryId query;
    // "claim/<caller>/<request>".
    std::string object;
    std::string fingerprint;
    Duration timeout = std::chrono::seconds(1);
};

// A traffic thread has the outcome of a claimed request; the outcome is not written to the claim object yet.
struct OutcomeRecorded {
    std::string object;
    std::string answer;
};

// A traffic thread became busy, or is no longer busy.
struct BusyReported {
    unsigned thread = 0;
    bool busy = false;
};

// A peer sent a message.
struct PeerMessageArrived {
    std::string from;
    PeerMessage message;
};

// A message to a peer could not be delivered.
struct PeerUnreachable {
    std::string address;
};

// A traffic thread reports the counts of its service.
struct ServiceReported {
    ServiceTable table;
};

// A traffic thread has finished or dropped all of its queries after a stop request.
struct TrafficStopped {
    unsigned thread = 0;
    // Number of queries that were dropped without an answer.
    unsigned cutOff = 0;
};

// A traffic thread holds no more connections than the shares published for an epoch allow.
struct SharesApplied {
    unsigned thread = 0;
    std::uint64_t epoch = 0;
};
}
