#include "quetzallift/control/discovery/searchers.h"

#include "quetzallift/control/discovery/confirmation.h"
#include "quetzallift/control/discovery/discovery.h"
#include "quetzallift/control/discovery/retrypause.h"
#include "quetzallift/control/discovery/storereading.h"
#include "quetzallift/control/discovery/tablesupdate.h"
#include "quetzallift/control/platformcalls.h"
#include "quetzallift/control/publish.h"
#include "quetzallift/core/reducecontext.h"

#include <algorithm>
#include <utility>

namespace Quetzallift
{
namespace
{
constexpr Duration ListTimeout = std::chrono::milliseconds(800);
// While searchers change, a watch returns immediately; the pause after it limits the calls, which are billed.
constexpr Duration WatchPause = std::chrono::milliseconds(500);
constexpr Duration LongestWatch = std::chrono::milliseconds(800);
// A store that gave no answer for this long may have dropped the entries of live searchers.
constexpr Duration OutageThreshold = std::chrono::milliseconds(2800);
// Searchers that can reach the store register again within two seconds of its recovery.
constexpr Duration OutageGrace = std::chrono::milliseconds(2300);

DiscoveryState &discoveryOf(ReduceContext &context)
{
    return context.state.control.discovery;
}

void logEntry(ReduceContext &context, const SearcherEntry &entry, const char *what)
{
    context.emit(WriteLog{
        {LogLevel::Info, Step::Watch, entry.id, {}, what, {{"service", entry.service}, {"address", entry.address}, {"data_centre", entry.dataCentre}}}});
}

// Ignores coldUntil, so that a renewed heartbeat alone does not count as a change.
bool differs(const SearcherEntry &known, const SearcherEntry &reported)
{
    return known.service != reported.service || known.address != reported.address || known.dataCentre != reported.dataCentre || known.slots != reported.slots
           || known.draining != reported.draining || known.startedAtMs != reported.startedAtMs;
}

SearcherEntry toSearcherEntry(const ReduceContext &context, const ReportedSearcher &reported)
{
    SearcherEntry entry = reported.entry;
    entry.coldUntil = context.now + reported.coldFor;
    return entry;
}

void updateSearcher(ReduceContext &context, const SearcherEntry &entry)
{
    DiscoveryState &discovery = discoveryOf(context);
    discovery.expiring.erase(entry.id);
    const auto found = discovery.searchers.find(entry.id);
    if (found != discovery.searchers.end() && !differs(found->second, entry)) {
        return;
    }
    logEntry(context, entry, entry.draining ? "searcher drains" : "searcher is ready");
    discovery.searchers[entry.id] = entry;
}

void removeSearcher(ReduceContext &context, const std::string &id, const char *why)
{
    DiscoveryState &discovery = discoveryOf(context);
    discovery.expiring.erase(id);
    const auto found = discovery.searchers.find(id);
    if (found != discovery.searchers.end()) {
        logEntry(context, found->second, why);
        discovery.searchers.erase(found);
    }
}

// Removes a searcher at the given time, unless its entry is in the store again by then.
void expireAt(ReduceContext &context, const std::string &id, TimePoint at)
{
    if (discoveryOf(context).expiring.emplace(id, at).second) {
        context.emit(StartTimer{{TimerKind::SearcherExpiry, 0}, at});
    }
}

// Removes a searcher whose entry disappeared from the store, either immediately or at the end of the grace period.
void removeOrExpire(ReduceContext &context, const std::string &id, TimePoint graceUntil)
{
    if (context.now >= graceUntil) {
        removeSearcher(context, id, "searcher is gone");
    } else if (discoveryOf(context).searchers.contains(id)) {
        expireAt(context, id, graceUntil);
    }
}

// Records that the store answered this host, or a host that confirms its answers, and starts the grace period after an outage.
void recordStoreAnswer(ReduceContext &context, TimePoint validAt)
{
    DiscoveryState &discovery = discoveryOf(context);
    if (discovery.storeAnsweredAt && validAt - *discovery.storeAnsweredAt > OutageThreshold) {
        discovery.outageGraceUntil = context.now + OutageGrace;
        const auto outageLength = std::chrono::duration_cast<std::chrono::milliseconds>(validAt - *discovery.storeAnsweredAt);
        context.emit(WriteLog{{LogLevel::Warning, Step::Watch, "store", {}, "store answers again", {{"away_ms", std::to_string(outageLength.count())}}}});
    }
    discovery.storeAnsweredAt = std::max(discovery.storeAnsweredAt, std::optional(validAt));
}

// Records that this host's searchers are up to date for the given time, as the source confirms.
void recordStoreRead(ReduceContext &context, const std::string &source, TimePoint validAt)
{
    DiscoveryState &discovery = discoveryOf(context);
    recordConfirmation(context, source, validAt);
    recordStoreAnswer(context, validAt);
    discovery.searchersReadAt = std::max(discovery.searchersReadAt, std::optional(validAt));
}

// Sends a list that replaced a table to the hosts that follow this one, as the changes from that table.
void relayList(ReduceContext &context, const std::map<std::string, SearcherEntry> &before, std::vector<std::string> missing, std::uint64_t changedBefore)
{
    const DiscoveryState &discovery = discoveryOf(context);
    if (discovery.versionBeforeList == 0) {
        return;
    }
    SearcherPage changes;
    changes.removed = std::move(missing);
    for (const auto &[id, entry] : discovery.searchers) {
        const auto known = before.find(id);
        if (known == before.end() || differs(known->second, entry)) {
            changes.entries.push_back({entry, std::max(entry.coldUntil - context.now, Duration::zero())});
        }
    }
    relaySearchers(context, changedBefore, discovery.versionBeforeList, changes);
}

void applyList(ReduceContext &context, const SearcherPage &page, std::uint64_t version, TimePoint validAt)
{
    DiscoveryState &discovery = discoveryOf(context);
    if (discovery.lastListedName.empty()) {
        // The watch starts at the version of the first page, so it repeats changes made between pages; applying a change
        // twice has no effect.
        discovery.listing.clear();
        discovery.listVersion = version;
        discovery.listValidAt = validAt;
    }
    for (const ReportedSearcher &reported : page.entries) {
        discovery.listing[reported.entry.id] = toSearcherEntry(context, reported);
    }
    if (page.more) {
        discovery.lastListedName = page.lastName;
        watchSearchers(context);
        return;
    }
    discovery.lastListedName.clear();
    if (discovery.searchersVersion > discovery.listVersion) {
        // A peer's later tables were applied during the call.
        discovery.listing.clear();
        watchSearchers(context);
        return;
    }
    const std::map<std::string, SearcherEntry> before = discovery.searchers;
    const std::uint64_t changedBefore = std::exchange(discovery.changedVersion, discovery.listVersion);
    discovery.searchersVersion = discovery.listVersion;
    recordStoreRead(context, "store", discovery.listValidAt);
    std::vector<std::string> missing;
    for (const auto &[id, entry] : discovery.searchers) {
        if (!discovery.listing.contains(id)) {
            missing.push_back(id);
        }
    }
    for (const auto &[id, entry] : std::exchange(discovery.listing, {})) {
        updateSearcher(context, entry);
    }
    for (const std::string &id : missing) {
        removeOrExpire(context, id, discovery.outageGraceUntil);
    }
    relayList(context, before, std::move(missing), changedBefore);
    confirmTables(context);
    watchSearchers(context);
}

void applyChanges(ReduceContext &context, const SearcherPage &page, std::uint64_t version, TimePoint graceUntil)
{
    DiscoveryState &discovery = discoveryOf(context);
    discovery.searchersVersion = version;
    if (!page.entries.empty() || !page.removed.empty()) {
        discovery.changedVersion = version;
    }
    const auto lost = std::count_if(page.removed.begin(), page.removed.end(), [&discovery](const std::string &id) {
        return discovery.searchers.contains(id);
    });
    // The removal of more than half of the searchers in one change is treated as an undetected outage, not as a
    // deployment that removes searchers.
    if (static_cast<std::size_t>(lost) * 2 > discovery.searchers.size()) {
        discovery.outageGraceUntil = context.now + OutageGrace;
    }
    for (const std::string &id : page.removed) {
        removeOrExpire(context, id, std::max(graceUntil, discovery.outageGraceUntil));
    }
    for (const ReportedSearcher &reported : page.entries) {
        updateSearcher(context, toSearcherEntry(context, reported));
    }
}

// Returns the page in a reply. If the call failed, schedules a retry after a pause and returns null.
const SearcherPage *usablePage(ReduceContext &context, const PlatformReply &reply)
{
    DiscoveryState &discovery = discoveryOf(context);
    const auto *page = std::get_if<SearcherPage>(&reply.value);
    if (reply.outcome != PlatformOutcome::Applied || page == nullptr) {
        discovery.lastListedName.clear();
        if (reply.outcome == PlatformOutcome::NotApplied && discovery.searchersVersion != 0) {
            // The store answers, but no longer has the history since the known version.
            discovery.versionBeforeList = std::exchange(discovery.searchersVersion, 0);
            watchSearchers(context);
            return nullptr;
        }
        if (discovery.failedSearcherReads++ == 0) {
            context.emit(WriteLog{{LogLevel::Warning, Step::Watch, "store", {}, "searchers cannot be read", {{"reason", reply.detail}}}});
        }
        context.emit(StartTimer{{TimerKind::SearchersRead, 0}, context.now + retryPause(context)});
        return nullptr;
    }
    discovery.failedSearcherReads = 0;
    for (const std::string &reason : page->unusable) {
        context.emit(WriteLog{{LogLevel::Warning, Step::Watch, "store", {}, "entry of a searcher cannot be used", {{"reason", reason}}}});
    }
    return page;
}
}

void watchSearchers(ReduceContext &context)
{
    const DiscoveryState &discovery = discoveryOf(context);
    if (discovery.lastListedName.empty() && !mustReadStore(context)) {
        scheduleReadCheck(context, TimerKind::SearchersRead);
        return;
    }
    const bool list = discovery.searchersVersion == 0;
    PlatformRequest request;
    request.verb = list ? PlatformVerb::ListSearchers : PlatformVerb::WatchSearchers;
    request.object = discovery.lastListedName;
    request.version = discovery.searchersVersion;
    request.timeout = list ? ListTimeout : watchTime(context, discovery.searchersReadAt, LongestWatch);
    callPlatform(context, list ? PlatformPurpose::ListSearchers : PlatformPurpose::WatchSearchers, std::move(request));
}

void handleSearcherList(ReduceContext &context, const PlatformReply &reply, TimePoint validAt)
{
    if (const SearcherPage *page = usablePage(context, reply)) {
        applyList(context, *page, reply.version, validAt);
        publishSearchers(context);
    }
}

void handleSearcherChanges(ReduceContext &context, const PlatformReply &reply, TimePoint validAt)
{
    const SearcherPage *page = usablePage(context, reply);
    if (page == nullptr) {
        return;
    }
    const std::uint64_t known = discoveryOf(context).searchersVersion;
    if (known == 0 || reply.version < known) {
        // A peer's searchers were applied during the call; the changes start from another version or are older.
        watchSearchers(context);
        return;
    }
    if (reply.partial) {
        recordStoreAnswer(context, validAt);
    } else {
        recordStoreRead(context, "store", validAt);
    }
    const std::uint64_t changedBefore = discoveryOf(context).changedVersion;
    applyChanges(context, *page, reply.version, discoveryOf(context).outageGraceUntil);
    publishSearchers(context);
    relaySearchers(context, changedBefore, reply.version, *page);
    if (reply.partial) {
        // Reads on without a pause until the present state is reached.
        watchSearchers(context);
        return;
    }
    confirmTables(context);
    context.emit(StartTimer{{TimerKind::SearchersRead, 0}, context.now + WatchPause});
}

bool applySearcherChanges(ReduceContext &context, const TablesUpdate &update)
{
    const std::uint64_t known = discoveryOf(context).searchersVersion;
    if (known != 0 && known >= update.to) {
        return true;
    }
    if (known == 0 || known < update.from || known > update.upTo) {
        return false;
    }
    applyChanges(context, update.changes, update.to, context.now + update.grace);
    publishSearchers(context);
    return true;
}

bool confirmSearchers(ReduceContext &context, const TablesConfirmation &confirmation, const std::string &source, TimePoint validAt)
{
    DiscoveryState &discovery = discoveryOf(context);
    if (discovery.searchersVersion == 0 || discovery.searchersVersion < confirmation.changedVersion) {
        return false;
    }
    discovery.searchersVersion = std::max(discovery.searchersVersion, confirmation.searchersVersion);
    recordStoreRead(context, source, validAt);
    return true;
}

void applyPeerSearchers(ReduceContext &context, const TablesReply &reply, TimePoint readAt)
{
    DiscoveryState &discovery = discoveryOf(context);
    const auto known = std::exchange(discovery.searchers, {});
    const auto knownExpiring = std::exchange(discovery.expiring, {});
    for (const SearcherEntry &entry : reply.searchers) {
        const auto left = reply.expiring.find(entry.id);
        if (left == reply.expiring.end()) {
            discovery.searchers[entry.id] = entry;
            continue;
        }
        if (discovery.searchersReadAt && !known.contains(entry.id)) {
            // This host has dropped the searcher already.
            continue;
        }
        const auto own = knownExpiring.find(entry.id);
        const TimePoint at = context.now + left->second;
        discovery.searchers[entry.id] = entry;
        expireAt(context, entry.id, own == knownExpiring.end() ? at : std::min(at, own->second));
    }
    discovery.searchersReadAt = std::max(discovery.searchersReadAt, std::optional(readAt));
    discovery.storeAnsweredAt = std::max(discovery.storeAnsweredAt, std::optional(readAt));
    // A version of 0, which a peer sends if it does not know the version, leads to a new list.
    discovery.searchersVersion = reply.searchersVersion;
    discovery.changedVersion = reply.searchersVersion;
    publishSearchers(context);
}

std::map<std::string, Duration> remainingGrace(const ReduceContext &context)
{
    std::map<std::string, Duration> remaining;
    for (const auto &[id, at] : context.state.control.discovery.expiring) {
        remaining[id] = std::max(at - context.now, Duration::zero());
    }
    return remaining;
}

void expireSearchers(ReduceContext &context)
{
    DiscoveryState &discovery = discoveryOf(context);
    std::vector<std::string> due;
    for (const auto &[id, at] : discovery.expiring) {
        if (at <= context.now) {
            due.push_back(id);
        }
    }
    for (const std::string &id : due) {
        removeSearcher(context, id, "searcher did not register again after the store outage");
    }
    publishSearchers(context);
}

void publishSearchers(ReduceContext &context)
{
    DiscoveryState &discovery = discoveryOf(context);
    const auto same = [](const auto &a, const auto &b) {
        return a.first == b.first && !differs(a.second, b.second);
    };
    const bool unchanged =
        discovery.published
        && std::equal(discovery.published->entries.begin(), discovery.published->entries.end(), discovery.searchers.begin(), discovery.searchers.end(), same);
    if (unchanged) {
        return;
    }
    RefPtr<SearcherTable> table(new SearcherTable);
    table->entries = discovery.searchers;
    discovery.published = table;
    publishSnapshot(context);
}
}
