#pragma once

#include "quetzallift/model/controlsnapshot.h"
#include "quetzallift/model/ids.h"
#include "quetzallift/model/peermessage.h"
#include "quetzallift/model/platform.h"
#include "quetzallift/query/events.h"

namespace Quetzallift
{
// Calls the platform; PlatformReplied follows exactly once.
struct CallPlatform {
    PlatformCallId call;
    PlatformRequest request;
};

// Gives new control decisions to every traffic thread.
struct PublishControlSnapshot {
    ControlSnapshotPtr snapshot;
};

// Tells a traffic thread the outcome of a claim.
struct SettleClaim {
    unsigned thread = 0;
    ClaimSettled settled;
};

// Tells every traffic thread to finish its queries and take no more.
struct StopTraffic {
};

// Sends a message to the peer at that address; PeerUnreachable may follow.
struct SendPeerMessage {
    std::string address;
    PeerMessage message;
};

// Ends the process.
struct Exit {
    int code = 0;
};
}
