#pragma once

#include "quetzallift/model/time.h"

namespace Quetzallift
{
struct ReduceContext;

// A random wait before the store is asked again after a failure. Short enough to be up to date within a few seconds of its
// return, long enough that the calls of all hosts stay far below its rate.
Duration retryPause(ReduceContext &context);
}
