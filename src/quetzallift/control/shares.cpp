#include "quetzallift/control/shares.h"

#include "quetzallift/control/gossip.h"
#include "quetzallift/control/handlers.h"
#include "quetzallift/control/platformcalls.h"
#include "quetzallift/control/publish.h"
#include "quetzallift/control/sharesplan.h"
#include "quetzallift/control/watchers.h"
#include "quetzallift/core/reducecontext.h"

#include <algorithm>

namespace Quetzallift
{
namespace
{
constexpr Duration RemindPeriod = std::chrono::seconds(2);
constexpr std::size_t MaximumReminders = 8;
constexpr Duration WriteDelay = std::chrono::milliseconds(200);
// Maximum random wait before the read that precedes a write, on the first attempt, after a call without an answer and
// after another host wrote first; the epoch of that host may arrive meanwhile.
constexpr Duration RetryLimit = std::chrono::seconds(2);
constexpr Duration ReadPeriod = std::chrono::seconds(30);
// No new epoch is written while this many earlier epochs may still be in use, which bounds the object's size.
constexpr std::size_t MaximumEarlier = 8;

SharesState &sharesOf(ReduceContext &context)
{
    return context.state.control.shares;
}

std::string objectName(const ControlState &state)
{
    return state.self.cell.empty() ? "shares" : "shares/" + state.self.cell;
}

// Whether a holder of an earlier share has acknowledged the current epoch or holds no connection.
bool hasReleased(const ReduceContext &context, const SharesHost &holder)
{
    const ControlState &state = context.state.control;
    const SharesState &shares = state.shares;
    if (holder.name == state.fleet.self.name) {
        return shares.acknowledged >= shares.record.current.epoch || holder.process < state.fleet.self.incarnation.process;
    }
    const auto found = state.fleet.members.find(holder.name);
    const bool acknowledged = found != state.fleet.members.end() && found->second.info.incarnation.process == holder.process
                              && found->second.sharesEpoch >= shares.record.current.epoch;
    return acknowledged || holdsNothing(state, holder);
}

bool allReleased(const ReduceContext &context)
{
    for (const SharesEpoch &epoch : context.state.control.shares.record.earlier) {
        for (const SharesHost &holder : epoch.hosts) {
            if (!hasReleased(context, holder)) {
                return false;
            }
        }
    }
    return true;
}

void settle(ReduceContext &context)
{
    SharesState &shares = sharesOf(context);
    if (shares.settled || !allReleased(context)) {
        return;
    }
    shares.settled = true;
    ++context.state.control.fleet.version;
}

// The hosts of all epochs in force, each once.
std::vector<std::string> holders(const SharesRecord &record)
{
    std::vector<std::string> names;
    for (const SharesHost &host : record.current.hosts) {
        names.push_back(host.name);
    }
    for (const SharesEpoch &epoch : record.earlier) {
        for (const SharesHost &host : epoch.hosts) {
            names.push_back(host.name);
        }
    }
    std::sort(names.begin(), names.end());
    names.erase(std::unique(names.begin(), names.end()), names.end());
    return names;
}

void announceToHolders(ReduceContext &context, std::size_t limit, bool replyWanted)
{
    const MembershipState &fleet = context.state.control.fleet;
    const SharesState &shares = sharesOf(context);
    for (const std::string &name : holders(shares.record)) {
        const auto found = fleet.members.find(name);
        if (found == fleet.members.end() || found->second.info.status == MemberStatus::Gone || limit == 0) {
            continue;
        }
        if (replyWanted && found->second.sharesEpoch >= shares.record.current.epoch) {
            continue;
        }
        sendToMember(context, found->second, Announcement{replyWanted});
        --limit;
    }
}

void acknowledge(ReduceContext &context)
{
    ControlState &state = context.state.control;
    SharesState &shares = state.shares;
    std::uint64_t lowest = shares.record.current.epoch;
    for (unsigned thread = 0; state.bundle && thread < state.self.trafficThreads; ++thread) {
        const auto found = shares.applied.find(thread);
        lowest = std::min(lowest, found == shares.applied.end() ? 0 : found->second);
    }
    if (lowest <= shares.acknowledged) {
        return;
    }
    shares.acknowledged = lowest;
    constexpr std::size_t All = 64;
    announceToHolders(context, All, false);
    settle(context);
}

void remindHolders(ReduceContext &context)
{
    SharesState &shares = sharesOf(context);
    if (!shares.settled && shares.nextReminderAt <= context.now) {
        shares.nextReminderAt = context.now + RemindPeriod;
        announceToHolders(context, MaximumReminders, true);
    }
}

// Whether the current epoch no longer matches the membership and a new epoch may be written.
bool needsNewEpoch(const ReduceContext &context)
{
    const SharesState &shares = context.state.control.shares;
    const bool room = shares.settled || shares.record.earlier.size() < MaximumEarlier;
    return room && targetHosts(context.state.control) != shares.record.current.hosts;
}

void write(ReduceContext &context)
{
    ControlState &state = context.state.control;
    PlatformRequest request;
    request.verb = state.shares.version == 0 ? PlatformVerb::Create : PlatformVerb::Update;
    request.object = objectName(state);
    request.version = state.shares.version;
    request.value = nextRecord(state.shares.record, state.shares.settled, targetHosts(state));
    state.shares.callPending = true;
    state.shares.pendingRecord = std::get<SharesRecord>(request.value);
    callPlatform(context, PlatformPurpose::WriteShares, std::move(request));
}

void scheduleRetry(ReduceContext &context)
{
    sharesOf(context).writeAt = context.now + jitter(context, RetryLimit);
}
}

std::uint64_t acknowledgedSharesEpoch(const ControlState &state)
{
    return state.shares.acknowledged;
}

void readShares(ReduceContext &context)
{
    SharesState &shares = sharesOf(context);
    if (shares.callPending) {
        return;
    }
    shares.callPending = true;
    shares.nextReadAt = context.now + ReadPeriod;
    PlatformRequest request;
    request.object = objectName(context.state.control);
    callPlatform(context, PlatformPurpose::ReadShares, std::move(request));
}

void updateShares(ReduceContext &context)
{
    SharesState &shares = sharesOf(context);
    settle(context);
    remindHolders(context);
    if (!needsNewEpoch(context)) {
        shares.writeAt.reset();
    } else if (!shares.writeAt) {
        shares.writeAt = context.now + WriteDelay + jitter(context, RetryLimit);
    }
    const bool write = shares.writeAt && *shares.writeAt <= context.now;
    if (isWatcher(context.state.control, BundleWatchers) && (write || shares.nextReadAt <= context.now)) {
        readShares(context);
    }
}

void handleSharesRead(ReduceContext &context, const PlatformReply &reply)
{
    SharesState &shares = sharesOf(context);
    shares.callPending = false;
    if (reply.outcome == PlatformOutcome::Unknown) {
        scheduleRetry(context);
        return;
    }
    const bool first = !shares.everRead;
    shares.everRead = true;
    const auto *record = std::get_if<SharesRecord>(&reply.value);
    shares.version = record == nullptr ? 0 : reply.version;
    if (record != nullptr) {
        adoptShares(context, *record);
    }
    const bool due = first || (shares.writeAt && *shares.writeAt <= context.now);
    if (due && isWatcher(context.state.control, BundleWatchers) && needsNewEpoch(context)) {
        write(context);
    }
}

void handleSharesWritten(ReduceContext &context, const PlatformReply &reply)
{
    SharesState &shares = sharesOf(context);
    shares.callPending = false;
    if (reply.outcome != PlatformOutcome::Applied) {
        // Another host wrote first, or the answer was lost; the next read of the object shows which.
        scheduleRetry(context);
        return;
    }
    shares.version = reply.version;
    shares.writeAt.reset();
    adoptShares(context, shares.pendingRecord);
}

void recordPeerShares(ReduceContext &context, const PeerSender &sender)
{
    ControlState &state = context.state.control;
    const auto found = state.fleet.members.find(sender.self.name);
    if (found == state.fleet.members.end() || sender.self.cell != state.self.cell) {
        return;
    }
    Member &member = found->second;
    if (sender.self.incarnation.process == member.info.incarnation.process) {
        member.sharesEpoch = std::max(member.sharesEpoch, sender.sharesEpoch);
        settle(context);
    }
    if (sender.sharesEpoch > state.shares.record.current.epoch) {
        sendToMember(context, member, SharesRequest{});
    }
}

void adoptShares(ReduceContext &context, const SharesRecord &record)
{
    ControlState &state = context.state.control;
    SharesState &shares = state.shares;
    if (record.current.epoch <= shares.record.current.epoch) {
        return;
    }
    shares.record = record;
    shares.settled = false;
    shares.adoptedAt = context.now;
    shares.nextReminderAt = context.now;
    ++state.fleet.version;
    context.emit(WriteLog{{LogLevel::Info, Step::Renew, {}, {}, "adopted connection shares of epoch " + std::to_string(record.current.epoch)}});
    acknowledge(context);
    settle(context);
    remindHolders(context);
}

void handleSharesApplied(ReduceContext &context, const SharesApplied &event)
{
    std::uint64_t &applied = sharesOf(context).applied[event.thread];
    applied = std::max(applied, event.epoch);
    acknowledge(context);
}
}
