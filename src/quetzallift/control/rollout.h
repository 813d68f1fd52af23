#pragma once

#include "quetzallift/model/bundle.h"

#include <string>

namespace Quetzallift
{
struct PlatformReply;
struct ReduceContext;
struct RolloutRecord;

// Reads the rollout object if its version is not known. Otherwise a watcher watches the object, and any other host sets
// the timer of the next poll.
void watchRollout(ReduceContext &context);

// Reads the rollout object once, on a host that polls.
void pollRollout(ReduceContext &context);

// Fetches the bundle of a rollout with a higher generation, and continues watching or polling.
void handleRolloutReply(ReduceContext &context, const PlatformReply &reply);

// Reads the bundle of the newest known rollout if it is not in force yet.
void readPendingBundle(ReduceContext &context);

// Offers the bundle that was read for the pending rollout; retries a failed read.
void handleBundleReply(ReduceContext &context, const PlatformReply &reply);

// Adopts a rollout if its generation is higher than the one in force and its bundle passes verification. The source is
// the platform or the name of the peer that sent the rollout; order and repetition do not matter. Returns whether the
// rollout was adopted.
bool offerRollout(ReduceContext &context, const RolloutRecord &rollout, const BundlePtr &bundle, const std::string &source);
}
