#pragma once

#include "quetzallift/control/controlstate.h"

namespace Quetzallift
{
struct ReduceContext;

// Emits a platform call and remembers what its reply is for.
void callPlatform(ReduceContext &context, PlatformPurpose purpose, PlatformRequest request, std::uint64_t claim = 0);

// Random draw of a wait before the next try, up to the given limit (full jitter).
Duration jitter(ReduceContext &context, Duration limit);

// Random wait before the next try after the given number of failures in a row: exponential backoff with full jitter.
Duration backoff(ReduceContext &context, unsigned failures);
}
