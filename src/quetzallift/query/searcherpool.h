#pragma once

#include "quetzallift/model/ids.h"

#include <cstddef>
#include <string>

namespace Quetzallift
{
struct Attempt;
struct Failure;
struct ReduceContext;
struct RunningQuery;
struct SubReply;

// The replica that should get the next sub-request for a shard, among those not tried and not draining; null if none.
const std::string *chooseReplica(ReduceContext &context, const RunningQuery &query, std::size_t shardIndex);

// Sends the sub-request of an attempt as soon as its searcher may get one more.
void startAttempt(ReduceContext &context, RunningQuery &query, AttemptId id);

// Learns from a searcher's reply and frees its connection.
void noteReply(ReduceContext &context, const Attempt &attempt, const SubReply &reply);

// Learns from a sub-request that failed and frees its connection.
void noteFailure(ReduceContext &context, const Attempt &attempt, const Failure &failure);

// Frees the connection of an attempt that was cancelled.
void noteCancelled(ReduceContext &context, const Attempt &attempt);
}
