#include "quetzallift/control/discovery/retrypause.h"

#include "quetzallift/control/platformcalls.h"

namespace Quetzallift
{
Duration retryPause(ReduceContext &context)
{
    constexpr Duration Minimum = std::chrono::milliseconds(400);
    constexpr Duration Spread = std::chrono::milliseconds(800);
    return Minimum + jitter(context, Spread);
}
}
