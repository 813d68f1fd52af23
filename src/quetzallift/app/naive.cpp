#include "quetzallift/app/naive.h"

#include "quetzallift/core/hooks.h"

namespace Quetzallift
{
void useNaivePolicies(Hooks &hooks)
{
    hooks.hedgeDelay = [](const LatencyEstimate &, const BackEndPolicy &) {
        return std::optional<Duration>();
    };
}
}
