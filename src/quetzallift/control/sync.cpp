#include "quetzallift/control/sync.h"

#include "quetzallift/control/gossip.h"
#include "quetzallift/control/membership.h"
#include "quetzallift/core/reducecontext.h"
#include "quetzallift/model/rendezvous.h"

#include <algorithm>
#include <bit>

namespace Quetzallift
{
namespace
{
// Average number of members in a bucket; a bucket that differs costs a reply of about 1 kB.
constexpr std::size_t MembersPerBucket = 16;
constexpr std::size_t MaximumBuckets = 256;
constexpr std::size_t MaximumReplyMembers = 128;
// A host that has just started fetches the whole table; later exchanges repair few entries and end after one reply.
constexpr Duration JoinDuration = std::chrono::seconds(20);

std::size_t bucketOf(const std::string &name, std::size_t buckets)
{
    return rendezvousWeight("bucket", name) % buckets;
}

// The hash of one member. The hash of a bucket is the sum of these, which does not depend on order.
std::uint32_t hashOf(const MemberUpdate &info)
{
    const std::string state = std::to_string(info.incarnation.process) + '/' + std::to_string(info.incarnation.refutation) + '/'
                              + std::to_string(static_cast<int>(info.status)) + (info.stopped ? "s" : "");
    return static_cast<std::uint32_t>(rendezvousWeight(state, info.name));
}

std::vector<std::uint32_t> bucketHashes(const MembershipState &fleet, std::size_t buckets)
{
    std::vector<std::uint32_t> hashes(buckets, 0);
    hashes[bucketOf(fleet.self.name, buckets)] += hashOf(fleet.self);
    for (const auto &[name, member] : fleet.members) {
        if (member.confirmed) {
            hashes[bucketOf(name, buckets)] += hashOf(member.info);
        }
    }
    return hashes;
}

void sendSyncRequest(ReduceContext &context, const std::string &address)
{
    const MembershipState &fleet = context.state.control.fleet;
    const std::size_t buckets = std::clamp(std::bit_ceil(fleet.members.size() / MembersPerBucket + 1), std::size_t{1}, MaximumBuckets);
    sendToPeer(context, address, SyncRequest{bucketHashes(fleet, buckets)});
}

// The buckets that differ, at most as many as fit into one reply (limit); sets more if further buckets differ.
std::vector<bool> differingBuckets(const std::vector<std::uint32_t> &own, const std::vector<std::uint32_t> &theirs, std::size_t limit, bool &more)
{
    std::vector<bool> differing(own.size(), false);
    for (std::size_t bucket = 0; bucket < own.size(); ++bucket) {
        if (own[bucket] == theirs[bucket]) {
            continue;
        }
        more = limit == 0;
        if (more) {
            break;
        }
        differing[bucket] = true;
        --limit;
    }
    return differing;
}
}

void syncWithRandomPeer(ReduceContext &context)
{
    const auto reachable = [](const Member &member) {
        return isServing(member);
    };
    for (const Member *member : randomMembers(context, 1, reachable)) {
        sendSyncRequest(context, member->info.peerAddress);
    }
}

void handleSyncRequest(ReduceContext &context, const PeerSender &sender, const SyncRequest &request)
{
    const MembershipState &fleet = context.state.control.fleet;
    if (request.buckets.empty()) {
        return;
    }
    SyncReply reply;
    const std::size_t buckets = request.buckets.size();
    const std::size_t perBucket = fleet.members.size() / buckets + 1;
    const std::vector<bool> differing =
        differingBuckets(bucketHashes(fleet, buckets), request.buckets, std::max<std::size_t>(1, MaximumReplyMembers / perBucket), reply.more);
    for (const auto &[name, member] : fleet.members) {
        if (member.confirmed && differing[bucketOf(name, buckets)]) {
            reply.members.push_back(member.info);
        }
    }
    sendToPeer(context, sender.self.peerAddress, std::move(reply));
}

void handleSyncReply(ReduceContext &context, const PeerSender &sender, const SyncReply &reply)
{
    const MembershipState &fleet = context.state.control.fleet;
    const std::uint64_t before = fleet.version;
    for (const MemberUpdate &update : reply.members) {
        applyUpdate(context, update, Propagation::LocalOnly);
    }
    if (!isJoining(fleet, context.now) || reply.members.empty()) {
        return;
    }
    if (reply.more) {
        sendSyncRequest(context, sender.self.peerAddress);
    } else if (fleet.version != before) {
        // Hosts that start at the same time each know few others, and updates that are assumed to be known elsewhere are not
        // gossiped. The known members double with each exchange, so exchanges continue until one brings no change.
        syncWithRandomPeer(context);
    }
}

bool isJoining(const MembershipState &fleet, TimePoint now)
{
    return now < fleet.startedAt + JoinDuration;
}
}
