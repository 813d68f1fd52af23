#pragma once

namespace Quetzallift
{
struct PlatformReply;
struct ReduceContext;

// Reads the rollout object, or watches it once its version is known.
void followRollout(ReduceContext &context);

// Reads the bundle of a rollout with a higher generation, and goes on watching.
void handleRolloutReply(ReduceContext &context, const PlatformReply &reply);

// Adopts the bundle that was read if its generation is still the highest known.
void handleBundleReply(ReduceContext &context, const PlatformReply &reply);
}
