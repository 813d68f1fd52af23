#pragma once

#include <set>
#include <string>

namespace Quetzallift
{
struct ControlState;
struct ReduceContext;

// Addresses of the searchers of the bundle that the host list marks as leaving.
std::set<std::string> leavingSearchers(const ControlState &state);

// Publishes the current control decisions to the traffic threads.
void publishSnapshot(ReduceContext &context);

// Publishes if the membership or the connection shares changed since the last publication.
void publishChanges(ReduceContext &context);
}
