#pragma once

#include "quetzallift/core/timerkey.h"
#include "quetzallift/model/ids.h"
#include "quetzallift/model/peermessage.h"
#include "quetzallift/model/platform.h"
#include "quetzallift/model/servicecounts.h"

#include <string>

namespace Quetzallift
{
// The process is up and its settings are known.
struct Started {
};

// The platform answered a call, or the call failed.
struct PlatformReplied {
    PlatformCallId call;
    PlatformReply reply;
};

// A traffic thread asks for the claim of a request that may not be repeated.
struct ClaimRequested {
    unsigned thread = 0;
    QueryId query;
    // "claim/<caller>/<request>".
    std::string object;
    std::string fingerprint;
    Duration timeout = std::chrono::seconds(1);
};

// A traffic thread has the outcome of a claimed request.
struct OutcomeRecorded {
    std::string object;
    std::string answer;
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

// A traffic thread counted its service.
struct ServiceReported {
    ServiceTable table;
};

// A traffic thread has no query left after a stop was requested.
struct TrafficStopped {
    unsigned thread = 0;
};
}
