#include "quetzallift/control/discovery/relay.h"

#include "quetzallift/control/discovery/configuration.h"
#include "quetzallift/control/discovery/discovery.h"
#include "quetzallift/control/discovery/searchers.h"
#include "quetzallift/control/gossip.h"
#include "quetzallift/control/membership.h"
#include "quetzallift/core/reducecontext.h"

namespace Quetzallift
{
namespace
{
constexpr Duration PollPeriod = std::chrono::seconds(1);
// A host that restarts refuses requests until it has the tables.
constexpr Duration FirstPollPeriod = std::chrono::milliseconds(100);
// Two watches of the store fit into this time; without an answer for so long a peer may know more.
constexpr Duration StoreSilence = std::chrono::seconds(3);
// What a peer knows must be newer by more than the time that a message may take.
constexpr Duration AgeMargin = std::chrono::milliseconds(500);

bool storeSilent(const ReduceContext &context)
{
    const DiscoveryState &discovery = context.state.control.discovery;
    return !discovery.routes || !discovery.searchersReadAt || context.now - *discovery.searchersReadAt > StoreSilence;
}
}

void startPeerTables(ReduceContext &context)
{
    const ControlState &state = context.state.control;
    const bool waiting = !state.discovery.searchersReadAt && !state.self.firstStart;
    context.emit(StartTimer{{TimerKind::PeerTablesPoll, 0}, context.now + (waiting ? FirstPollPeriod : PollPeriod)});
}

void pollPeerTables(ReduceContext &context)
{
    startPeerTables(context);
    if (!storeSilent(context)) {
        return;
    }
    const DiscoveryState &discovery = context.state.control.discovery;
    const TablesRequest body{discovery.routes ? discovery.routes->version : 0, true};
    const std::string &dataCentre = context.state.control.fleet.self.dataCentre;
    std::vector<const Member *> asked = randomMembers(context, 1, [&dataCentre](const Member &member) {
        return isServing(member) && member.info.dataCentre == dataCentre;
    });
    // Tables are large, and bytes between data centres have a price; a host that has tables already can wait for its own.
    if (asked.empty() || discovery.searchersReadAt) {
        asked = randomMembers(context, 1, isServing);
    }
    for (const Member *member : asked) {
        sendToMember(context, *member, body);
    }
}

void handleTablesRequest(ReduceContext &context, const PeerSender &sender, const TablesRequest &request)
{
    const DiscoveryState &discovery = context.state.control.discovery;
    if (!discovery.routes || !discovery.searchersReadAt) {
        return;
    }
    TablesReply reply;
    if (discovery.routes->version > request.configuration) {
        reply.document = discovery.routes->document;
    }
    reply.configurationVersion = discovery.configurationVersion;
    reply.withSearchers = request.searchers;
    if (request.searchers) {
        reply.searchersVersion = discovery.searchersVersion;
        for (const auto &[id, entry] : discovery.searchers) {
            reply.searchers.push_back(entry);
        }
    }
    reply.age = context.now - *discovery.searchersReadAt;
    sendToPeer(context, sender.self.peerAddress, std::move(reply));
}

void handleTablesReply(ReduceContext &context, const PeerSender &sender, const TablesReply &reply)
{
    DiscoveryState &discovery = context.state.control.discovery;
    if (!reply.document.empty() && adoptConfiguration(context, context.state.hooks.parseRoutes(reply.document), sender.self.name)) {
        discovery.configurationVersion = std::max(discovery.configurationVersion, reply.configurationVersion);
    }
    const TimePoint readAt = context.now - reply.age;
    const bool laterVersion = reply.searchersVersion > discovery.searchersVersion && discovery.searchersVersion != 0;
    const bool laterRead = !discovery.searchersReadAt || readAt > *discovery.searchersReadAt + AgeMargin;
    if (!reply.withSearchers || !(laterVersion || laterRead)) {
        return;
    }
    discovery.searchers.clear();
    discovery.expiring.clear();
    for (const SearcherEntry &entry : reply.searchers) {
        discovery.searchers[entry.id] = entry;
    }
    discovery.searchersReadAt = std::max(discovery.searchersReadAt, std::optional(readAt));
    // A version of 0, where the peer does not know it, leads to a new list.
    discovery.searchersVersion = reply.searchersVersion;
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(reply.age);
    context.emit(WriteLog{{LogLevel::Info,
                           Step::PassOn,
                           sender.self.name,
                           {},
                           "searchers taken from a peer",
                           {{"searchers", std::to_string(reply.searchers.size())}, {"age_ms", std::to_string(age.count())}}}});
    publishSearchers(context);
}
}
