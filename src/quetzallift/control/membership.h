#pragma once

#include "quetzallift/control/membershipstate.h"

#include <functional>

namespace Quetzallift
{
struct ControlState;
struct HostListRecord;
struct ReduceContext;

// Initialises the membership table with this host alone.
void startMembership(ReduceContext &context, WallTime wallTime);

// Adds listed hosts that are missing in the table. They stay unconfirmed, and are not gossiped, until a message or
// membership update about them arrives.
void seedMembers(ReduceContext &context, const HostListRecord &list);

// Whether a membership update that changes the table is gossiped to other hosts, or is assumed to be known to them.
enum class Propagation {
    Gossip,
    LocalOnly,
};

// Applies a membership update if it prevails over the known one; refutes a false update about this host.
void applyUpdate(ReduceContext &context, const MemberUpdate &update, Propagation propagation = Propagation::Gossip);

// Records that a probe of the host was not answered.
void recordMissedProbe(ReduceContext &context, const std::string &name);

// Marks hosts as gone whose suspicion timeout has passed, and removes hosts that have been gone for the retention time.
void expireMembers(ReduceContext &context);

// Removes all other hosts after a pause of this host that made the table stale.
void resetMembership(ReduceContext &context);

// Sets this host's status under a higher incarnation and queues the update for gossip.
void updateOwnStatus(ReduceContext &context, MemberStatus status);

// Number of hosts that are not gone, this host included.
std::size_t fleetSize(const ControlState &state);

// Whether the host accepts queries according to the membership table.
bool isServing(const Member &member);

// The time within which a suspected host may refute the suspicion.
Duration suspicionTimeout(std::size_t hosts);

// Returns up to count random members that the filter accepts.
std::vector<const Member *> randomMembers(ReduceContext &context, std::size_t count, const std::function<bool(const Member &)> &filter);
}
