#pragma once

#include "quetzallift/control/controlstate.h"

namespace Quetzallift
{
struct ReduceContext;

// Emits a platform call and remembers what its reply is for. A call beyond this host's budget waits for its turn; one
// whose turn would come after its timeout is answered as not made.
void callPlatform(ReduceContext &context, PlatformPurpose purpose, PlatformRequest request, std::uint64_t claim = 0);

// Emits a call whose turn has come.
void sendHeldCall(ReduceContext &context, PlatformCallId call);

// True if the platform has not answered several calls in a row.
bool platformIsDown(const ControlState &state);

// Random draw of a wait before the next try, up to the given limit (full jitter).
Duration jitter(ReduceContext &context, Duration limit);

// Random wait before the next try after the given number of failures in a row: exponential backoff with full jitter.
Duration backoff(ReduceContext &context, unsigned failures);
}
