#pragma once

#include "quetzallift/model/controlsnapshot.h"
#include "quetzallift/model/ids.h"
#include "quetzallift/model/peermessage.h"
#include "quetzallift/model/platform.h"
#include "quetzallift/query/events.h"

#include <string>
#include <vector>

namespace Quetzallift
{
// Calls the platform; PlatformReplied follows exactly once.
struct CallPlatform {
    PlatformCallId call;
    PlatformRequest request;
};

// Publishes new control decisions to every traffic thread.
struct PublishControlSnapshot {
    ControlSnapshotPtr snapshot;
};

// Reports the outcome of a claim to a traffic thread.
struct SettleClaim {
    unsigned thread = 0;
    ClaimSettled settled;
};

// Makes every traffic thread finish its running queries and accept no new ones.
struct StopTraffic {
};

// Sends a message to the peer at the address; PeerUnreachable may follow.
struct SendPeerMessage {
    std::string address;
    PeerMessage message;
};

// Sends one message to several peers. It is encoded once; a message with many searchers takes milliseconds to encode.
struct BroadcastPeerMessage {
    std::vector<std::string> addresses;
    PeerMessage message;
};

// Makes every traffic thread drop its queries immediately.
struct CutOffTraffic {
};

// Ends the process.
struct Exit {
    int code = 0;
};
}
