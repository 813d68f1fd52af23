#include "quetzallift/control/membership.h"

#include "quetzallift/core/reducecontext.h"

#include <algorithm>
#include <bit>

namespace Quetzallift
{
namespace
{
// Regions are occasionally partitioned for about an hour; with a shorter retention, stale updates would re-add hosts
// that left in the meantime.
constexpr Duration GoneRetention = std::chrono::hours(2);
// Gossip reaches the whole fleet in a number of probe periods that grows with the logarithm of its size. Three more
// periods, which are added to that number, leave a suspected host time to receive the suspicion and to refute it.
constexpr Duration MinimumSuspicionTimeout = std::chrono::seconds(3);

MembershipState &fleetOf(ReduceContext &context)
{
    return context.state.control.fleet;
}

void queueUpdate(MembershipState &fleet, const std::string &name)
{
    fleet.updateSendCounts[name] = 0;
    ++fleet.version;
}

void recordChange(MembershipState &fleet, const std::string &name, Propagation propagation)
{
    if (propagation == Propagation::Gossip) {
        queueUpdate(fleet, name);
    } else {
        ++fleet.version;
    }
}

// The incarnation with which this host refutes an update about itself.
Incarnation refutationOf(const Incarnation &own, const Incarnation &received)
{
    // An incarnation that this process never used belongs to an earlier process of this host.
    if (received > own) {
        return {received.process + 1, 0};
    }
    return {own.process, own.refutation + 1};
}

void refute(ReduceContext &context, const MemberUpdate &update)
{
    MembershipState &fleet = fleetOf(context);
    if (!supersedes(update, fleet.self)) {
        return;
    }
    fleet.self.incarnation = refutationOf(fleet.self.incarnation, update.incarnation);
    queueUpdate(fleet, fleet.self.name);
    context.emit(WriteLog{
        {LogLevel::Warning, Step::Join, {}, {}, "refuted a membership update that reports this host as gone or suspect or under a newer incarnation"}});
}

// The first update about a host may report it as gone, without addresses. This host needs the addresses of such a host
// in order to notify it that it is considered gone.
void fillAddresses(MemberUpdate &known, const MemberUpdate &update)
{
    if (known.peerAddress.empty()) {
        known.address = update.address;
        known.peerAddress = update.peerAddress;
        known.dataCentre = update.dataCentre;
        known.cell = update.cell;
    }
}

void logChange(ReduceContext &context, const MemberUpdate &info)
{
    static constexpr const char *Names[] = {"live", "suspect", "leaving", "gone"};
    const Step step = info.status == MemberStatus::Live ? Step::Join : Step::Leave;
    context.emit(WriteLog{{LogLevel::Info, step, info.name, {}, std::string("host is ") + Names[static_cast<int>(info.status)]}});
}

void setStatus(ReduceContext &context, Member &member, MemberStatus status, Propagation propagation = Propagation::Gossip)
{
    member.info.status = status;
    member.since = context.now;
    member.unresponsiveSince.reset();
    recordChange(fleetOf(context), member.info.name, propagation);
    logChange(context, member.info);
}

void insertMember(ReduceContext &context, const MemberUpdate &update, Propagation propagation)
{
    // Without an address, only an update that reports the host as gone is useful.
    if (update.peerAddress.empty() && update.status != MemberStatus::Gone) {
        return;
    }
    Member member;
    member.info = update;
    member.since = context.now;
    member.confirmed = true;
    fleetOf(context).members.emplace(update.name, std::move(member));
    recordChange(fleetOf(context), update.name, propagation);
    logChange(context, update);
}
}

void startMembership(ReduceContext &context, WallTime wallTime)
{
    const HostIdentity &identity = context.state.control.self;
    MembershipState &fleet = fleetOf(context);
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(wallTime.time_since_epoch()).count();
    fleet.self = {identity.name,
                  {std::max<std::uint64_t>(1, static_cast<std::uint64_t>(std::max<std::int64_t>(0, seconds))), 0},
                  MemberStatus::Live,
                  false,
                  identity.address,
                  identity.peerAddress,
                  identity.dataCentre,
                  identity.cell,
                  identity.capacity,
                  false};
    fleet.startedAt = context.now;
    fleet.lastTick = context.now;
    queueUpdate(fleet, identity.name);
}

void seedMembers(ReduceContext &context, const HostListRecord &list)
{
    MembershipState &fleet = fleetOf(context);
    for (const ListedHost &host : list.hosts) {
        if (host.leaving || host.peerAddress.empty() || host.name == fleet.self.name || fleet.members.contains(host.name)) {
            continue;
        }
        Member member;
        member.info = {host.name, {}, MemberStatus::Live, false, host.address, host.peerAddress, host.dataCentre, {}};
        member.since = context.now;
        fleet.members.emplace(host.name, std::move(member));
    }
}

void applyUpdate(ReduceContext &context, const MemberUpdate &update, Propagation propagation)
{
    MembershipState &fleet = fleetOf(context);
    if (update.name == fleet.self.name) {
        refute(context, update);
        return;
    }
    const auto found = fleet.members.find(update.name);
    if (found == fleet.members.end()) {
        insertMember(context, update, propagation);
        return;
    }
    Member &member = found->second;
    fillAddresses(member.info, update);
    if (!supersedes(update, member.info)) {
        return;
    }
    const bool newProcess = update.incarnation.process > member.info.incarnation.process;
    const bool newStatus = update.status != member.info.status || !member.confirmed;
    if (newProcess) {
        member.sharesEpoch = 0;
    }
    member.info.incarnation = update.incarnation;
    member.info.stopped = update.stopped;
    member.confirmed = true;
    member.needsCorrection = false;
    if (!update.peerAddress.empty()) {
        member.info = update;
    }
    if (newStatus) {
        setStatus(context, member, update.status, propagation);
    } else {
        member.unresponsiveSince.reset();
        recordChange(fleet, update.name, propagation);
    }
}

void recordMissedProbe(ReduceContext &context, const std::string &name)
{
    MembershipState &fleet = fleetOf(context);
    const auto found = fleet.members.find(name);
    if (found == fleet.members.end()) {
        return;
    }
    Member &member = found->second;
    if (!member.confirmed) {
        // The host list lags behind and may name a stopped host. The host is added again if the next list still names it.
        fleet.members.erase(found);
    } else if (member.info.status == MemberStatus::Live) {
        setStatus(context, member, MemberStatus::Suspect);
    } else if (member.info.status == MemberStatus::Leaving && !member.unresponsiveSince) {
        member.unresponsiveSince = context.now;
    }
}

void expireMembers(ReduceContext &context)
{
    MembershipState &fleet = fleetOf(context);
    const Duration limit = suspicionTimeout(fleetSize(context.state.control));
    for (auto entry = fleet.members.begin(); entry != fleet.members.end();) {
        Member &member = entry->second;
        const bool suspicionOver = member.info.status == MemberStatus::Suspect && member.since + limit <= context.now;
        const bool silenceOver = member.unresponsiveSince && *member.unresponsiveSince + limit <= context.now;
        if (suspicionOver || silenceOver) {
            setStatus(context, member, MemberStatus::Gone);
        }
        const bool expired = member.info.status == MemberStatus::Gone && member.since + GoneRetention <= context.now;
        entry = expired ? fleet.members.erase(entry) : std::next(entry);
    }
}

void resetMembership(ReduceContext &context)
{
    MembershipState &fleet = fleetOf(context);
    fleet.members.clear();
    fleet.probeOrder.clear();
    fleet.probes.clear();
    fleet.updateSendCounts.clear();
    fleet.startedAt = context.now;
    updateOwnStatus(context, fleet.self.status);
}

void updateOwnStatus(ReduceContext &context, MemberStatus status)
{
    MembershipState &fleet = fleetOf(context);
    ++fleet.self.incarnation.refutation;
    fleet.self.status = status;
    queueUpdate(fleet, fleet.self.name);
}

std::size_t fleetSize(const ControlState &state)
{
    return 1 + static_cast<std::size_t>(std::count_if(state.fleet.members.begin(), state.fleet.members.end(), [](const auto &entry) {
               return entry.second.info.status != MemberStatus::Gone;
           }));
}

bool isServing(const Member &member)
{
    return member.confirmed && member.info.status == MemberStatus::Live;
}

Duration suspicionTimeout(std::size_t hosts)
{
    return MinimumSuspicionTimeout + std::chrono::seconds(std::bit_width(hosts));
}

std::vector<const Member *> randomMembers(ReduceContext &context, std::size_t count, const std::function<bool(const Member &)> &filter)
{
    std::vector<const Member *> chosen;
    for (const auto &[name, member] : fleetOf(context).members) {
        if (filter(member)) {
            chosen.push_back(&member);
        }
    }
    for (std::size_t index = 0; index < std::min(count, chosen.size()); ++index) {
        std::swap(chosen[index], chosen[index + context.state.hooks.random() % (chosen.size() - index)]);
    }
    chosen.resize(std::min(count, chosen.size()));
    return chosen;
}
}
