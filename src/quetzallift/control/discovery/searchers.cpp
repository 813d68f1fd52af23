#include "quetzallift/control/discovery/searchers.h"

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
// While searchers come and go a watch returns at once; the pause after it bounds the calls, which have a price. Together
// with the wait it stays below the patience of the hosts that follow this one.
constexpr Duration WatchPause = std::chrono::milliseconds(500);
constexpr Duration WatchWait = std::chrono::milliseconds(800);
// A store that answered nothing for this long may have dropped entries of searchers that live.
constexpr Duration OutageLength = std::chrono::milliseconds(2800);
// Searchers that reach the store again are back in it within two seconds of its return.
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

// The known entry stays as it is if only its heartbeat moved.
bool differs(const SearcherEntry &known, const SearcherEntry &reported)
{
    return known.service != reported.service || known.address != reported.address || known.dataCentre != reported.dataCentre || known.slots != reported.slots
           || known.draining != reported.draining || known.bornAt != reported.bornAt;
}

SearcherEntry received(const ReduceContext &context, const ReportedSearcher &reported)
{
    SearcherEntry entry = reported.entry;
    entry.coldUntil = context.now + reported.coldFor;
    return entry;
}

void put(ReduceContext &context, const SearcherEntry &entry)
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

void removeNow(ReduceContext &context, const std::string &id, const char *why)
{
    DiscoveryState &discovery = discoveryOf(context);
    discovery.expiring.erase(id);
    const auto found = discovery.searchers.find(id);
    if (found != discovery.searchers.end()) {
        logEntry(context, found->second, why);
        discovery.searchers.erase(found);
    }
}

// Takes an entry that is gone from the store as a searcher that is gone, at once or after the time in which it may return.
void vanish(ReduceContext &context, const std::string &id)
{
    DiscoveryState &discovery = discoveryOf(context);
    if (context.now >= discovery.outageGraceUntil) {
        removeNow(context, id, "searcher is gone");
    } else if (discovery.searchers.contains(id) && discovery.expiring.emplace(id, discovery.outageGraceUntil).second) {
        context.emit(StartTimer{{TimerKind::SearcherExpiry, 0}, discovery.outageGraceUntil});
    }
}

// Notes that the store answered this host, or one that passes its answers on, and whether it had been away.
void noteAnswered(ReduceContext &context, TimePoint readAt)
{
    DiscoveryState &discovery = discoveryOf(context);
    if (discovery.searchersReadAt && readAt - *discovery.searchersReadAt > OutageLength) {
        discovery.outageGraceUntil = context.now + OutageGrace;
        const auto away = std::chrono::duration_cast<std::chrono::milliseconds>(readAt - *discovery.searchersReadAt);
        context.emit(WriteLog{{LogLevel::Warning, Step::Watch, "store", {}, "store answers again", {{"away_ms", std::to_string(away.count())}}}});
    }
    discovery.searchersReadAt = std::max(discovery.searchersReadAt, std::optional(readAt));
}

void takeList(ReduceContext &context, const SearcherPage &page, std::uint64_t version)
{
    DiscoveryState &discovery = discoveryOf(context);
    if (discovery.listedTo.empty()) {
        // Changes made while later pages are read are seen again by the watch, and change nothing twice.
        discovery.listing.clear();
        discovery.listVersion = version;
    }
    for (const ReportedSearcher &reported : page.entries) {
        discovery.listing[reported.entry.id] = received(context, reported);
    }
    if (page.more) {
        discovery.listedTo = page.lastName;
        followSearchers(context);
        return;
    }
    discovery.listedTo.clear();
    discovery.searchersVersion = discovery.listVersion;
    noteAnswered(context, context.now);
    std::vector<std::string> missing;
    for (const auto &[id, entry] : discovery.searchers) {
        if (!discovery.listing.contains(id)) {
            missing.push_back(id);
        }
    }
    for (const auto &[id, entry] : std::exchange(discovery.listing, {})) {
        put(context, entry);
    }
    for (const std::string &id : missing) {
        vanish(context, id);
    }
    passTablesOn(context, discovery.searchersVersion, {});
    followSearchers(context);
}

void takeChanges(ReduceContext &context, const SearcherPage &page, std::uint64_t version, TimePoint readAt)
{
    DiscoveryState &discovery = discoveryOf(context);
    discovery.searchersVersion = version;
    noteAnswered(context, readAt);
    // More than half at once is an outage that this host did not notice, not a release.
    if (page.removed.size() * 2 > discovery.searchers.size()) {
        discovery.outageGraceUntil = context.now + OutageGrace;
    }
    for (const std::string &id : page.removed) {
        vanish(context, id);
    }
    for (const ReportedSearcher &reported : page.entries) {
        put(context, received(context, reported));
    }
}

// The page in a reply; null if the call failed, and then it is made again after a pause.
const SearcherPage *usablePage(ReduceContext &context, const PlatformReply &reply)
{
    DiscoveryState &discovery = discoveryOf(context);
    const auto *page = std::get_if<SearcherPage>(&reply.value);
    if (reply.outcome != PlatformOutcome::Applied || page == nullptr) {
        discovery.listedTo.clear();
        if (reply.outcome == PlatformOutcome::NotApplied) {
            discovery.searchersVersion = 0;
        }
        if (discovery.searcherFailures++ == 0) {
            context.emit(WriteLog{{LogLevel::Warning, Step::Watch, "store", {}, "searchers cannot be read", {{"reason", reply.detail}}}});
        }
        context.emit(StartTimer{{TimerKind::SearchersRead, 0}, context.now + retryPause(context)});
        return nullptr;
    }
    discovery.searcherFailures = 0;
    for (const std::string &reason : page->unusable) {
        context.emit(WriteLog{{LogLevel::Warning, Step::Watch, "store", {}, "entry of a searcher cannot be used", {{"reason", reason}}}});
    }
    return page;
}
}

void followSearchers(ReduceContext &context)
{
    const DiscoveryState &discovery = discoveryOf(context);
    if (discovery.listedTo.empty() && !mustReadStore(context)) {
        lookAgainLater(context, TimerKind::SearchersRead);
        return;
    }
    const bool list = discovery.searchersVersion == 0;
    PlatformRequest request;
    request.verb = list ? PlatformVerb::ListSearchers : PlatformVerb::WatchSearchers;
    request.object = discovery.listedTo;
    request.version = discovery.searchersVersion;
    request.timeout = list ? ListTimeout : WatchWait;
    callPlatform(context, list ? PlatformPurpose::ListSearchers : PlatformPurpose::WatchSearchers, std::move(request));
}

void handleSearcherList(ReduceContext &context, const PlatformReply &reply)
{
    if (const SearcherPage *page = usablePage(context, reply)) {
        takeList(context, *page, reply.version);
        publishSearchers(context);
    }
}

void handleSearcherChanges(ReduceContext &context, const PlatformReply &reply)
{
    const SearcherPage *page = usablePage(context, reply);
    if (page == nullptr) {
        return;
    }
    const std::uint64_t known = discoveryOf(context).searchersVersion;
    if (known == 0 || reply.version < known) {
        // Searchers came from a peer meanwhile; these changes follow on others, or are behind them.
        followSearchers(context);
        return;
    }
    takeChanges(context, *page, reply.version, context.now);
    publishSearchers(context);
    passTablesOn(context, known, *page);
    context.emit(StartTimer{{TimerKind::SearchersRead, 0}, context.now + WatchPause});
}

bool followSearcherChanges(ReduceContext &context, std::uint64_t from, std::uint64_t to, const SearcherPage &changes, TimePoint readAt)
{
    const std::uint64_t known = discoveryOf(context).searchersVersion;
    if (known == 0 || known < from) {
        return false;
    }
    if (known < to) {
        takeChanges(context, changes, to, readAt);
        publishSearchers(context);
    } else {
        noteAnswered(context, readAt);
    }
    return true;
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
        removeNow(context, id, "searcher did not come back after the outage");
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
