#include "quetzallift/app/naive.h"

#include "quetzallift/core/hooks.h"

namespace Quetzallift
{
void useNaivePolicies(Hooks &hooks)
{
    hooks.chooseReplica = randomReplica;
    hooks.searcherWindow = unlimitedWindow;
    hooks.queryLimit = unlimitedQueries;
    hooks.meetsDeadline = ignoreDeadline;
    hooks.hedgeDelay = [](const LatencyEstimate &, const BackEndPolicy &) {
        return std::optional<Duration>();
    };
}
}
