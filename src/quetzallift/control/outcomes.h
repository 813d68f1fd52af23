#pragma once

#include <cstdint>

namespace Quetzallift
{
struct PlatformReply;
struct ReduceContext;

// Writes the outcome of a claimed request into its claim object.
void writeOutcome(ReduceContext &context, std::uint64_t outcome);

// Forgets an outcome that is recorded, and follows up one that is not.
void handleOutcomeWritten(ReduceContext &context, std::uint64_t outcome, const PlatformReply &reply);

// Writes again under the version found, unless the outcome is recorded or the claim is no longer this host's.
void handleOutcomeRead(ReduceContext &context, std::uint64_t outcome, const PlatformReply &reply);
}
