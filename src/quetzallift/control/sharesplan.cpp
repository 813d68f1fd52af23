#include "quetzallift/control/sharesplan.h"

#include "quetzallift/control/controlstate.h"
#include "quetzallift/model/rendezvous.h"

#include <algorithm>
#include <numeric>

namespace Quetzallift
{
namespace
{
// After this time, a host that is gone and not listed by the platform holds no connection: the platform lists a machine
// at least as long as it runs, and a searcher detects the end of the connections of a lost machine within this time.
constexpr Duration ReclaimDelay = std::chrono::seconds(30);

bool isListed(const ControlState &state, const std::string &name)
{
    return std::any_of(state.hostList.hosts.begin(), state.hostList.hosts.end(), [&](const ListedHost &host) {
        return host.name == name;
    });
}

// Whether a host list that was read at least ReclaimDelay after the loss of a host does not name the host.
bool isReclaimable(const ControlState &state, const std::string &name, TimePoint lostAt)
{
    return state.hostListReadAt && *state.hostListReadAt >= lostAt + ReclaimDelay && !isListed(state, name);
}

// The entry of a holder in the next epoch; without a name if its share is free.
SharesHost updatedHolder(const ControlState &state, const SharesHost &holder)
{
    if (holder.name == state.fleet.self.name) {
        return {holder.name, state.fleet.self.incarnation.process, holder.part};
    }
    const auto found = state.fleet.members.find(holder.name);
    const bool restarted = found != state.fleet.members.end() && found->second.confirmed && found->second.info.incarnation.process > holder.process;
    if (restarted && found->second.info.status != MemberStatus::Gone) {
        return {holder.name, found->second.info.incarnation.process, holder.part};
    }
    return holdsNothing(state, holder) ? SharesHost{} : holder;
}

bool mayJoin(const ControlState &state, const Member &member)
{
    return member.confirmed && member.info.cell == state.self.cell && (member.info.status == MemberStatus::Live || member.info.status == MemberStatus::Suspect);
}

void addMissing(std::vector<SharesHost> &hosts, const std::string &name, std::uint64_t process)
{
    const bool present = std::any_of(hosts.begin(), hosts.end(), [&](const SharesHost &host) {
        return host.name == name;
    });
    if (!present) {
        hosts.push_back({name, process});
    }
}
}

unsigned connectionShare(const SharesEpoch &epoch, const SharesHost &host, const Searcher &searcher)
{
    const auto own = std::find_if(epoch.hosts.begin(), epoch.hosts.end(), [&](const SharesHost &other) {
        return other.name == host.name && other.process == host.process;
    });
    if (own == epoch.hosts.end()) {
        return 0;
    }
    std::uint64_t total = 0;
    std::uint64_t allocated = 0;
    for (const SharesHost &other : epoch.hosts) {
        total += other.part;
    }
    // Rounding leaves fewer unassigned connections than there are hosts. The hosts ranked first for the searcher get one each.
    const std::uint64_t weight = rendezvousWeight(searcher.address, own->name);
    std::uint64_t rank = 0;
    for (const SharesHost &other : epoch.hosts) {
        allocated += std::uint64_t{searcher.connectionLimit} * other.part / std::max<std::uint64_t>(total, 1);
        const std::uint64_t otherWeight = rendezvousWeight(searcher.address, other.name);
        rank += other.part > 0 && (otherWeight > weight || (otherWeight == weight && other.name < own->name)) ? 1 : 0;
    }
    const std::uint64_t base = std::uint64_t{searcher.connectionLimit} * own->part / std::max<std::uint64_t>(total, 1);
    const bool extra = own->part > 0 && rank < searcher.connectionLimit - allocated;
    return static_cast<unsigned>(base + (extra ? 1 : 0));
}

unsigned usableShare(const SharesRecord &record, bool settled, const SharesHost &host, const Searcher &searcher)
{
    unsigned part = connectionShare(record.current, host, searcher);
    if (!settled) {
        for (const SharesEpoch &epoch : record.earlier) {
            part = std::min(part, connectionShare(epoch, host, searcher));
        }
    }
    return part;
}

bool holdsNothing(const ControlState &state, const SharesHost &holder)
{
    const auto found = state.fleet.members.find(holder.name);
    const bool known = found != state.fleet.members.end() && found->second.confirmed && found->second.info.incarnation.process >= holder.process;
    if (!known) {
        return isReclaimable(state, holder.name, state.shares.adoptedAt);
    }
    const Member &member = found->second;
    // A newer process of a host proves that the older one ended, and with it its connections.
    const bool ended = member.info.incarnation.process > holder.process || member.info.stopped;
    return ended || (member.info.status == MemberStatus::Gone && isReclaimable(state, holder.name, member.since));
}

std::vector<SharesHost> targetHosts(const ControlState &state)
{
    const MemberUpdate &self = state.fleet.self;
    std::vector<SharesHost> hosts;
    for (const SharesHost &holder : state.shares.record.current.hosts) {
        SharesHost host = updatedHolder(state, holder);
        if (!host.name.empty()) {
            hosts.push_back(std::move(host));
        }
    }
    for (const auto &[name, member] : state.fleet.members) {
        if (mayJoin(state, member)) {
            addMissing(hosts, name, member.info.incarnation.process);
        }
    }
    if (self.status == MemberStatus::Live) {
        addMissing(hosts, self.name, self.incarnation.process);
    }
    std::sort(hosts.begin(), hosts.end(), [](const SharesHost &a, const SharesHost &b) {
        return a.name < b.name;
    });
    return hosts;
}

SharesRecord nextRecord(const SharesRecord &record, bool settled, std::vector<SharesHost> hosts)
{
    SharesRecord next;
    next.current = {record.current.epoch + 1, std::move(hosts)};
    if (!settled) {
        next.earlier = record.earlier;
    }
    if (record.current.epoch > 0) {
        next.earlier.push_back(record.current);
    }
    return next;
}
}
