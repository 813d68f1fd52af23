#pragma once

#include "quetzallift/control/controlstate.h"
#include "quetzallift/core/hooks.h"
#include "quetzallift/query/querystate.h"
#include "quetzallift/routing/routingstate.h"

namespace Quetzallift
{
// All data that decisions depend on, apart from the event. Each thread owns one instance: the control thread uses the
// control member, a traffic thread the query and routing members.
struct State {
    Hooks hooks;
    QueryState query;
    RoutingState routing;
    ControlState control;
};
}
