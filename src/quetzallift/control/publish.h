#pragma once

#include <set>
#include <string>

namespace Quetzallift
{
struct ControlState;
struct ReduceContext;

// Searchers of the bundle that the host list shows as leaving.
std::set<std::string> leavingSearchers(const ControlState &state);

// Publishes the present control decisions to the traffic threads.
void publish(ReduceContext &context);

// Publishes if the membership or the connection shares changed since the last time.
void publishChanges(ReduceContext &context);
}
