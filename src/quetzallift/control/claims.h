#pragma once

#include <cstdint>

namespace Quetzallift
{
struct PlatformReply;
struct ReduceContext;

// Grants the claim, or reads the object back if the create failed or its answer was lost.
void handleClaimCreated(ReduceContext &context, std::uint64_t claim, const PlatformReply &reply);

// Reads the claim object in order to settle or to release the claim.
void readClaim(ReduceContext &context, std::uint64_t claim);

// Settles a claim by the object's token. Without an answer it reads again within the query's deadline.
void handleClaimRead(ReduceContext &context, std::uint64_t claim, const PlatformReply &reply);

// Ends the release of a claim that was given up, or tries it again.
void handleClaimReleased(ReduceContext &context, std::uint64_t claim, const PlatformReply &reply);
}
