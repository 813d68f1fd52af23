#pragma once

#include "quetzallift/model/bundle.h"

#include <string>

namespace Quetzallift
{
struct PlatformReply;
struct ReduceContext;
struct RolloutRecord;

// Reads the rollout object; once its version is known, a watcher watches it and any other host waits to poll it.
void followRollout(ReduceContext &context);

// Reads the rollout object once, on a host that polls it.
void pollRollout(ReduceContext &context);

// Reads the bundle of a rollout with a higher generation, and goes on watching.
void handleRolloutReply(ReduceContext &context, const PlatformReply &reply);

// Reads the bundle of the newest rollout that is known and not yet in force.
void readWantedBundle(ReduceContext &context);

// Adopts the bundle that was read if its generation is still the highest known.
void handleBundleReply(ReduceContext &context, const PlatformReply &reply);

// Adopts a rollout if its generation is higher than the one in force and its bundle passes verification. The source is
// the platform or the address of the peer that passed it on; order and repetition do not matter. Returns whether the
// rollout was adopted.
bool offerRollout(ReduceContext &context, const RolloutRecord &rollout, const BundlePtr &bundle, const std::string &source);
}
