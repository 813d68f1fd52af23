#pragma once

#include "quetzallift/model/burnrecord.h"

namespace Quetzallift
{
struct PlatformReply;
struct ReduceContext;
struct ServiceReported;

// The host's service-level counts, and the state of the platform object that stores them.
struct BurnState {
    BurnRecord record;
    // Version of the platform object, 0 if it does not exist.
    std::uint64_t version = 0;
    // False until the object was read, and after a write that failed or whose outcome is not known.
    bool versionKnown = false;
    // True once the object was read and the counts of an earlier run, if any, were added to the record.
    bool merged = false;
    // True once another run of this host writes the object.
    bool superseded = false;
};

// Starts the periodic write of this host's counts.
void startBurn(ReduceContext &context);

// Adds the counts reported by a traffic thread.
void handleServiceReported(ReduceContext &context, const ServiceReported &event);

// Reads the object if its version is not known, otherwise writes the counts.
void syncBurn(ReduceContext &context);

void handleBurnRead(ReduceContext &context, const PlatformReply &reply);
void handleBurnWritten(ReduceContext &context, const PlatformReply &reply);
}
