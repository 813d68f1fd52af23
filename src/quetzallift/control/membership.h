#pragma once

#include "quetzallift/control/membershipstate.h"

#include <functional>

namespace Quetzallift
{
struct ControlState;
struct HostListRecord;
struct ReduceContext;

// Starts the table with this host alone.
void startMembership(ReduceContext &context, WallTime wallTime);

// Adds listed hosts that the table does not know. Their statements do not spread until they have been heard of.
void seedMembers(ReduceContext &context, const HostListRecord &list);

// Whether a statement that tells more than what is known is new to the fleet too, and so is spread.
enum class Novelty {
    News,
    KnownElsewhere,
};

// Takes a statement over if it tells more than what is known; refutes a false one about this host.
void applyUpdate(ReduceContext &context, const MemberUpdate &update, Novelty novelty = Novelty::News);

// Notes that a probe of the host was not answered.
void missMember(ReduceContext &context, const std::string &name);

// Declares hosts gone whose suspicion ran out, and forgets those gone for long.
void expireMembers(ReduceContext &context);

// Forgets everything about other hosts, after a pause in which the fleet has moved on.
void forgetMembers(ReduceContext &context);

// Raises this host's incarnation under the given status and spreads it.
void changeSelf(ReduceContext &context, MemberStatus status);

// Hosts that are not gone, this one included.
std::size_t fleetSize(const ControlState &state);

// Whether the host takes queries, as far as is known.
bool isServing(const Member &member);

// The time within which a suspected host may refute.
Duration suspicionTime(std::size_t hosts);

// Up to the given number of members, drawn at random among those for which the filter holds.
std::vector<const Member *> randomMembers(ReduceContext &context, std::size_t count, const std::function<bool(const Member &)> &filter);
}
