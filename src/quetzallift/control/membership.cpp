#include "quetzallift/control/membership.h"

#include "quetzallift/core/reducecontext.h"

#include <algorithm>
#include <bit>

namespace Quetzallift
{
namespace
{
// Regions lose each other for an hour now and then; a shorter memory would let stale statements bring back hosts that
// left meanwhile.
constexpr Duration GoneMemory = std::chrono::hours(2);
// Statements reach a fleet in a number of periods that grows with the logarithm of its size; three of them leave a
// suspected host time to hear of it and to answer.
constexpr Duration SuspicionFloor = std::chrono::seconds(3);

MembershipState &fleetOf(ReduceContext &context)
{
    return context.state.control.fleet;
}

void spread(MembershipState &fleet, const std::string &name)
{
    fleet.spreading[name] = 0;
    ++fleet.version;
}

void note(MembershipState &fleet, const std::string &name, Novelty novelty)
{
    if (novelty == Novelty::News) {
        spread(fleet, name);
    } else {
        ++fleet.version;
    }
}

// The incarnation with which this host contradicts a statement about itself.
Incarnation refutationOf(const Incarnation &own, const Incarnation &said)
{
    // A number that this process never used belongs to an earlier process of this host.
    if (said > own) {
        return {said.process + 1, 0};
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
    spread(fleet, fleet.self.name);
    context.emit(WriteLog{{LogLevel::Warning, Step::Join, {}, {}, "contradicted a statement that this host is gone, suspect or older"}});
}

// A host first heard of as gone is known without addresses; it could not be told that it is taken to be gone.
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

void setStatus(ReduceContext &context, Member &member, MemberStatus status, Novelty novelty = Novelty::News)
{
    member.info.status = status;
    member.since = context.now;
    member.silentSince.reset();
    note(fleetOf(context), member.info.name, novelty);
    logChange(context, member.info);
}

void insertMember(ReduceContext &context, const MemberUpdate &update, Novelty novelty)
{
    // Without an address only the news that a host is gone is of use.
    if (update.peerAddress.empty() && update.status != MemberStatus::Gone) {
        return;
    }
    Member member;
    member.info = update;
    member.since = context.now;
    member.confirmed = true;
    fleetOf(context).members.emplace(update.name, std::move(member));
    note(fleetOf(context), update.name, novelty);
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
                  identity.cell};
    fleet.startedAt = context.now;
    fleet.lastTick = context.now;
    spread(fleet, identity.name);
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

void applyUpdate(ReduceContext &context, const MemberUpdate &update, Novelty novelty)
{
    MembershipState &fleet = fleetOf(context);
    if (update.name == fleet.self.name) {
        refute(context, update);
        return;
    }
    const auto found = fleet.members.find(update.name);
    if (found == fleet.members.end()) {
        insertMember(context, update, novelty);
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
    member.outdated = false;
    if (!update.peerAddress.empty()) {
        member.info = update;
    }
    if (newStatus) {
        setStatus(context, member, update.status, novelty);
    } else {
        member.silentSince.reset();
        note(fleet, update.name, novelty);
    }
}

void missMember(ReduceContext &context, const std::string &name)
{
    MembershipState &fleet = fleetOf(context);
    const auto found = fleet.members.find(name);
    if (found == fleet.members.end()) {
        return;
    }
    Member &member = found->second;
    if (!member.confirmed) {
        // The lagging host list names it; it is tried again if the list still does.
        fleet.members.erase(found);
    } else if (member.info.status == MemberStatus::Live) {
        setStatus(context, member, MemberStatus::Suspect);
    } else if (member.info.status == MemberStatus::Leaving && !member.silentSince) {
        member.silentSince = context.now;
    }
}

void expireMembers(ReduceContext &context)
{
    MembershipState &fleet = fleetOf(context);
    const Duration limit = suspicionTime(fleetSize(context.state.control));
    for (auto entry = fleet.members.begin(); entry != fleet.members.end();) {
        Member &member = entry->second;
        const bool suspicionOver = member.info.status == MemberStatus::Suspect && member.since + limit <= context.now;
        const bool silenceOver = member.silentSince && *member.silentSince + limit <= context.now;
        if (suspicionOver || silenceOver) {
            setStatus(context, member, MemberStatus::Gone);
        }
        const bool forget = member.info.status == MemberStatus::Gone && member.since + GoneMemory <= context.now;
        entry = forget ? fleet.members.erase(entry) : std::next(entry);
    }
}

void forgetMembers(ReduceContext &context)
{
    MembershipState &fleet = fleetOf(context);
    fleet.members.clear();
    fleet.probeOrder.clear();
    fleet.probes.clear();
    fleet.spreading.clear();
    fleet.startedAt = context.now;
    changeSelf(context, fleet.self.status);
}

void changeSelf(ReduceContext &context, MemberStatus status)
{
    MembershipState &fleet = fleetOf(context);
    ++fleet.self.incarnation.refutation;
    fleet.self.status = status;
    spread(fleet, fleet.self.name);
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

Duration suspicionTime(std::size_t hosts)
{
    return SuspicionFloor + std::chrono::seconds(std::bit_width(hosts));
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
