#pragma once

#include <cstdint>

namespace Quetzallift
{
struct PlatformReply;
struct ReduceContext;

// Grants the claim, or reads the object back if the create failed or its answer was lost.
void handleClaimCreated(ReduceContext &context, std::uint64_t claim, const PlatformReply &reply);

// Settles a claim by the object's token.
void handleClaimRead(ReduceContext &context, std::uint64_t claim, const PlatformReply &reply);
}
