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
// Bounds a message to about 1 kB, so that it fits into one packet.
constexpr std::size_t MaximumUpdates = 12;
// Each host sends an update this many times the logarithm of the fleet's size, which reaches nearly all hosts. The
// exchange of tables repairs the rest.
constexpr unsigned RetransmitFactor = 2;

// The part of an update that is needed by a host that already knows its subject.
MemberUpdate compacted(MemberUpdate update)
{
    if (update.status == MemberStatus::Suspect || update.status == MemberStatus::Gone) {
        update.address.clear();
        update.peerAddress.clear();
        update.dataCentre.clear();
        update.cell.clear();
    }
    return update;
}

// Selects the updates that were sent least often, and counts the transmission.
std::vector<MemberUpdate> takeUpdates(ReduceContext &context)
{
    MembershipState &fleet = context.state.control.fleet;
    std::vector<std::pair<unsigned, std::string>> waiting;
    for (const auto &[name, sent] : fleet.updateSendCounts) {
        waiting.emplace_back(sent, name);
    }
    const std::size_t count = std::min(MaximumUpdates, waiting.size());
    std::partial_sort(waiting.begin(), waiting.begin() + static_cast<std::ptrdiff_t>(count), waiting.end());
    const unsigned limit = RetransmitFactor * static_cast<unsigned>(std::bit_width(fleet.members.size() + 1)) + 2;
    std::vector<MemberUpdate> updates;
    for (std::size_t index = 0; index < count; ++index) {
        const std::string &name = waiting[index].second;
        const auto member = fleet.members.find(name);
        if (member != fleet.members.end()) {
            updates.push_back(compacted(member->second.info));
        }
        if (++fleet.updateSendCounts[name] >= limit) {
            fleet.updateSendCounts.erase(name);
        }
    }
    return updates;
}

PeerMessage composeMessage(ReduceContext &context, PeerMessageBody body)
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
    context.emit(SendPeerMessage{address, composeMessage(context, std::move(body))});
}

void sendToMember(ReduceContext &context, const Member &member, PeerMessageBody body)
{
    PeerMessage message = composeMessage(context, std::move(body));
    const bool needsRefutation = member.needsCorrection || member.info.status == MemberStatus::Suspect || member.info.status == MemberStatus::Gone;
    if (member.confirmed && needsRefutation) {
        message.updates.push_back(compacted(member.info));
    }
    context.emit(SendPeerMessage{member.info.peerAddress, std::move(message)});
}

void broadcast(ReduceContext &context, std::vector<std::string> addresses, PeerMessageBody body)
{
    if (!addresses.empty()) {
        context.emit(BroadcastPeerMessage{std::move(addresses), composeMessage(context, std::move(body))});
    }
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
