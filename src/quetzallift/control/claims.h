#pragma once

#include <cstdint>

namespace Quetzallift
{
struct PlatformReply;
struct ReduceContext;

// Grants the claim, or reads the object if the create failed or its answer was lost.
void handleClaimCreated(ReduceContext &context, std::uint64_t claim, const PlatformReply &reply);

// Reads the claim object in order to settle or to release the claim.
void readClaim(ReduceContext &context, std::uint64_t claim);

// Settles a claim by the token of the object. A read without an answer is retried within the query's deadline.
void handleClaimRead(ReduceContext &context, std::uint64_t claim, const PlatformReply &reply);

// Removes an abandoned claim once its release is answered; otherwise retries the release.
void handleClaimReleased(ReduceContext &context, std::uint64_t claim, const PlatformReply &reply);
}
