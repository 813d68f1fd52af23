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

// Chooses the replica for the next sub-request of a shard, among those not used yet and not draining; null if there is
// none.
const std::string *chooseReplica(ReduceContext &context, const RunningQuery &query, std::size_t shardIndex);

// Sends the sub-request of an attempt, or queues it until its searcher can be sent one more.
void startAttempt(ReduceContext &context, RunningQuery &query, AttemptId id);

// Updates the searcher's state after a reply and releases the connection.
void recordReply(ReduceContext &context, const Attempt &attempt, const SubReply &reply);

// Updates the searcher's state after a failed sub-request and releases the connection.
void recordFailure(ReduceContext &context, const Attempt &attempt, const Failure &failure);

// Updates the searcher's state after a cancelled attempt and releases the connection.
void recordCancelled(ReduceContext &context, const Attempt &attempt);
}
