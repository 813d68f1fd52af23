#pragma once

#include "quetzallift/control/controlstate.h"
#include "quetzallift/core/hooks.h"
#include "quetzallift/query/querystate.h"
#include "quetzallift/routing/routingstate.h"

namespace Quetzallift
{
// Everything that decisions depend on. Each thread owns one value: the control thread uses the control part, a traffic
// thread the query and routing parts.
struct State {
    Hooks hooks;
    QueryState query;
    RoutingState routing;
    ControlState control;
};
}
