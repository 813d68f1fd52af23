#include "quetzallift/control/gossip.h"

#include "quetzallift/control/membership.h"
#include "quetzallift/control/shares.h"
#include "quetzallift/core/reducecontext.h"

#include <algorithm>
#include <bit>

namespace Quetzallift
{
namespace
{
// Bounds a message to about a kilobyte, so that it fits into one packet.
constexpr std::size_t MaximumUpdates = 12;
// A statement that each host passes on this many times the logarithm of the fleet's size reaches nearly all hosts; what
// it misses, the exchange of tables repairs.
constexpr unsigned SpreadFactor = 2;

// The part of a statement that a host which knows its subject needs.
MemberUpdate shortened(MemberUpdate update)
{
    if (update.status == MemberStatus::Suspect || update.status == MemberStatus::Gone) {
        update.address.clear();
        update.peerAddress.clear();
        update.dataCentre.clear();
        update.cell.clear();
    }
    return update;
}

// Takes the statements that went out least, and counts them.
std::vector<MemberUpdate> takeUpdates(ReduceContext &context)
{
    MembershipState &fleet = context.state.control.fleet;
    std::vector<std::pair<unsigned, std::string>> waiting;
    for (const auto &[name, sent] : fleet.spreading) {
        waiting.emplace_back(sent, name);
    }
    const std::size_t count = std::min(MaximumUpdates, waiting.size());
    std::partial_sort(waiting.begin(), waiting.begin() + static_cast<std::ptrdiff_t>(count), waiting.end());
    const unsigned limit = SpreadFactor * static_cast<unsigned>(std::bit_width(fleet.members.size() + 1)) + 2;
    std::vector<MemberUpdate> updates;
    for (std::size_t index = 0; index < count; ++index) {
        const std::string &name = waiting[index].second;
        const auto member = fleet.members.find(name);
        if (member != fleet.members.end()) {
            updates.push_back(shortened(member->second.info));
        }
        if (++fleet.spreading[name] >= limit) {
            fleet.spreading.erase(name);
        }
    }
    return updates;
}

PeerMessage compose(ReduceContext &context, PeerMessageBody body)
{
    const ControlState &state = context.state.control;
    PeerMessage message;
    message.sender = {state.fleet.self, state.generation, acknowledgedSharesEpoch(state)};
    message.updates = takeUpdates(context);
    message.body = std::move(body);
    return message;
}
}

void sendToPeer(ReduceContext &context, const std::string &address, PeerMessageBody body)
{
    context.emit(SendPeerMessage{address, compose(context, std::move(body))});
}

void sendToMember(ReduceContext &context, const Member &member, PeerMessageBody body)
{
    PeerMessage message = compose(context, std::move(body));
    const bool contradict = member.outdated || member.info.status == MemberStatus::Suspect || member.info.status == MemberStatus::Gone;
    if (member.confirmed && contradict) {
        message.updates.push_back(shortened(member.info));
    }
    context.emit(SendPeerMessage{member.info.peerAddress, std::move(message)});
}

void announce(ReduceContext &context, std::size_t count)
{
    const auto reachable = [](const Member &member) {
        return member.info.status != MemberStatus::Gone && !member.info.peerAddress.empty();
    };
    for (const Member *member : randomMembers(context, count, reachable)) {
        sendToMember(context, *member, Announcement{});
    }
}
}
