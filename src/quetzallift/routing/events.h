#pragma once

#include "quetzallift/model/clientrejection.h"
#include "quetzallift/model/clientrequest.h"
#include "quetzallift/model/failure.h"
#include "quetzallift/model/forwardreply.h"
#include "quetzallift/model/ids.h"
#include "quetzallift/model/reloadablesettings.h"

namespace Quetzallift
{
// A client sent a complete request.
struct RequestArrived {
    QueryId request;
    ClientRequestPtr content;
    // How long the request waited on this host until it was read. The client's time limit includes this time.
    Duration waited = Duration::zero();
};

// The settings that take effect without a restart have changed. Sent to the control thread and to the traffic threads.
struct SettingsReloaded {
    ReloadableSettings settings;
};

// A request was refused before it was complete, or a client's connection was closed to make room.
struct ClientRejected {
    ClientRejection reason = ClientRejection::Invalid;
};

// The client closed its connection before the answer.
struct RequestAbandoned {
    QueryId request;
};

// A searcher replied to an attempt.
struct ForwardReplied {
    AttemptId attempt;
    ForwardReply reply;
};

// An attempt ended without a reply.
struct ForwardFailed {
    AttemptId attempt;
    Failure failure;
    // False only if no byte of the request left this host.
    bool sent = true;
};
}
