#pragma once

#include <cstdint>

namespace Quetzallift
{
struct PlatformReply;
struct ReduceContext;

// Writes the outcome of a claimed request into its claim object.
void writeOutcome(ReduceContext &context, std::uint64_t outcome);

// Removes an outcome that is recorded; otherwise retries the write or reads the object.
void handleOutcomeWritten(ReduceContext &context, std::uint64_t outcome, const PlatformReply &reply);

// Schedules another write under the version found, unless the outcome is recorded or this host no longer holds the claim.
void handleOutcomeRead(ReduceContext &context, std::uint64_t outcome, const PlatformReply &reply);
}
