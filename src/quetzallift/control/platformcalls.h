#pragma once

#include "quetzallift/control/controlstate.h"

namespace Quetzallift
{
struct ReduceContext;

// Emits a platform call and records the purpose of its reply. A call beyond this host's call budget is queued. A call
// that would be queued for longer than its timeout is not sent; its handler gets NotApplied for a write and Unknown for
// a read.
void callPlatform(ReduceContext &context, PlatformPurpose purpose, PlatformRequest request, std::uint64_t subject = 0);

// Emits a queued call once the call budget admits it, or fails a call that is over the budget.
void sendQueuedCall(ReduceContext &context, PlatformCallId call);

// True if several consecutive calls were not answered by the platform.
bool isPlatformDown(const ControlState &state);

// Random wait before the next attempt, up to the given limit (full jitter).
Duration jitter(ReduceContext &context, Duration limit);

// Random wait before a retry after the given number of consecutive failures: exponential backoff with full jitter.
Duration backoff(ReduceContext &context, unsigned failures);
}
