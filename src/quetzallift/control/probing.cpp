#include "quetzallift/control/probing.h"

#include "quetzallift/control/gossip.h"
#include "quetzallift/control/handlers.h"
#include "quetzallift/control/membership.h"
#include "quetzallift/core/reducecontext.h"

#include <algorithm>

namespace Quetzallift
{
namespace
{
constexpr Duration ProbePeriod = std::chrono::seconds(1);
// Several times the round-trip time between regions, which is about 40 ms.
constexpr Duration DirectTimeout = std::chrono::milliseconds(300);
// A probe, including the indirect probes, ends before the next probe period begins.
constexpr Duration ProbeTimeout = std::chrono::milliseconds(950);
constexpr std::size_t IndirectProbers = 3;
// A timer that fires later than this indicates a pause of this host, and says nothing about the probed host.
constexpr Duration MaximumTimerDelay = std::chrono::milliseconds(500);
// Hosts that are gone are still probed at this interval, so that the two sides of a healed partition rediscover each
// other.
constexpr std::uint64_t TicksPerGoneProbe = 5;

std::uint64_t startProbe(ReduceContext &context, PendingProbe probe)
{
    MembershipState &fleet = context.state.control.fleet;
    const std::uint64_t number = ++fleet.lastProbe;
    probe.deadline = context.now + ProbeTimeout;
    context.emit(StartTimer{{TimerKind::ProbeTimeout, number}, context.now + DirectTimeout});
    context.emit(StartTimer{{TimerKind::ProbeFailed, number}, probe.deadline});
    fleet.probes.emplace(number, std::move(probe));
    return number;
}

void probeMember(ReduceContext &context, const Member &member)
{
    const std::uint64_t number = startProbe(context, {member.info.name, member.info.peerAddress, {}, false, {}, 0});
    sendToMember(context, member, Probe{number});
}

void refillProbeOrder(ReduceContext &context)
{
    MembershipState &fleet = context.state.control.fleet;
    for (const auto &[name, member] : fleet.members) {
        if (member.info.status != MemberStatus::Gone) {
            fleet.probeOrder.push_back(name);
        }
    }
    for (std::size_t index = fleet.probeOrder.size(); index > 1; --index) {
        std::swap(fleet.probeOrder[index - 1], fleet.probeOrder[context.state.hooks.random() % index]);
    }
}

// The next host in the probe order that is in the table and not gone, or null.
const Member *nextInOrder(ReduceContext &context)
{
    MembershipState &fleet = context.state.control.fleet;
    if (fleet.probeOrder.empty()) {
        refillProbeOrder(context);
    }
    while (!fleet.probeOrder.empty()) {
        const auto found = fleet.members.find(fleet.probeOrder.back());
        fleet.probeOrder.pop_back();
        if (found != fleet.members.end() && found->second.info.status != MemberStatus::Gone) {
            return &found->second;
        }
    }
    return nullptr;
}

void probeGoneMember(ReduceContext &context)
{
    const auto gone = [](const Member &member) {
        return member.info.status == MemberStatus::Gone && !member.info.stopped && !member.info.peerAddress.empty();
    };
    for (const Member *member : randomMembers(context, 1, gone)) {
        sendToMember(context, *member, Probe{0});
    }
}

// Probes the peers from the settings while no other host is known, for example because the platform is unavailable.
void probeConfiguredPeers(ReduceContext &context)
{
    const HostIdentity &self = context.state.control.self;
    for (const std::string &address : self.peers) {
        if (address != self.peerAddress) {
            sendToPeer(context, address, Probe{0});
        }
    }
}
}

void scheduleNextPeriod(ReduceContext &context)
{
    context.emit(StartTimer{{TimerKind::ProbePeriod, 0}, context.now + ProbePeriod});
}

void probeNextMember(ReduceContext &context)
{
    if (const Member *member = nextInOrder(context)) {
        probeMember(context, *member);
    } else {
        probeConfiguredPeers(context);
    }
    if (context.state.control.fleet.ticks % TicksPerGoneProbe == 0) {
        probeGoneMember(context);
    }
}

void handleProbeTimeout(ReduceContext &context, std::uint64_t number)
{
    auto &probes = context.state.control.fleet.probes;
    const auto found = probes.find(number);
    if (found == probes.end() || found->second.indirectSent || !found->second.requester.empty()) {
        return;
    }
    PendingProbe &probe = found->second;
    probe.indirectSent = true;
    const auto helper = [&probe](const Member &member) {
        return isServing(member) && member.info.name != probe.subject;
    };
    for (const Member *member : randomMembers(context, IndirectProbers, helper)) {
        sendToMember(context, *member, IndirectProbe{number, probe.subject, probe.address});
    }
}

void handleProbeFailed(ReduceContext &context, std::uint64_t number)
{
    auto &probes = context.state.control.fleet.probes;
    const auto found = probes.find(number);
    if (found == probes.end()) {
        return;
    }
    const PendingProbe probe = std::move(found->second);
    probes.erase(found);
    if (probe.requester.empty() && context.now < probe.deadline + MaximumTimerDelay) {
        recordMissedProbe(context, probe.subject);
    }
}

void handleProbe(ReduceContext &context, const PeerSender &sender, const Probe &probe)
{
    const MembershipState &fleet = context.state.control.fleet;
    const ProbeReply reply{probe.number, fleet.self.name};
    const auto member = fleet.members.find(sender.self.name);
    if (member == fleet.members.end()) {
        sendToPeer(context, sender.self.peerAddress, reply);
    } else {
        sendToMember(context, member->second, reply);
    }
}

void handleIndirectProbe(ReduceContext &context, const PeerSender &sender, const IndirectProbe &probe)
{
    const std::uint64_t number = startProbe(context, {probe.subject, probe.peerAddress, {}, true, sender.self.peerAddress, probe.number});
    sendToPeer(context, probe.peerAddress, Probe{number});
}

void handleProbeReply(ReduceContext &context, const ProbeReply &reply)
{
    MembershipState &fleet = context.state.control.fleet;
    const auto found = fleet.probes.find(reply.number);
    if (found == fleet.probes.end() || found->second.subject != reply.subject) {
        return;
    }
    const PendingProbe probe = std::move(found->second);
    fleet.probes.erase(found);
    if (!probe.requester.empty()) {
        sendToPeer(context, probe.requester, ProbeReply{probe.requesterNumber, probe.subject});
    }
    const auto member = fleet.members.find(reply.subject);
    if (member != fleet.members.end()) {
        member->second.unresponsiveSince.reset();
    }
}

void handlePeerUnreachable(ReduceContext &context, const PeerUnreachable &event)
{
    std::vector<std::uint64_t> numbers;
    for (const auto &[number, probe] : context.state.control.fleet.probes) {
        if (probe.address == event.address) {
            numbers.push_back(number);
        }
    }
    for (const std::uint64_t number : numbers) {
        handleProbeTimeout(context, number);
    }
}
}
