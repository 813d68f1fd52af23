#pragma once

#include "quetzallift/model/burnrecord.h"

namespace Quetzallift
{
struct PlatformReply;
struct ReduceContext;
struct ServiceReported;

// How the host's counts stand towards the platform.
struct BurnState {
    BurnRecord record;
    // Version of the platform object, 0 if it does not exist.
    std::uint64_t version = 0;
    // False until the object was read, and after a write of which the outcome is not known.
    bool versionKnown = false;
    // True once the counts of an earlier run are part of the record.
    bool merged = false;
    // True once another run of this host writes the object.
    bool superseded = false;
};

// Starts the periodic write of this host's counts.
void startBurn(ReduceContext &context);

// Adds what a traffic thread counted.
void handleServiceReported(ReduceContext &context, const ServiceReported &event);

// Reads the object if its version is not known, else writes the counts.
void syncBurn(ReduceContext &context);

void handleBurnRead(ReduceContext &context, const PlatformReply &reply);
void handleBurnWritten(ReduceContext &context, const PlatformReply &reply);
}
