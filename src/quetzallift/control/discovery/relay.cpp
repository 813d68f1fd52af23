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
    context.emit(StartTimer{{TimerKind::PeerTablesPoll, 0}, context.now + PollPeriod});
}

void pollPeerTables(ReduceContext &context)
{
    startPeerTables(context);
    if (!storeSilent(context)) {
        return;
    }
    const DiscoveryState &discovery = context.state.control.discovery;
    const TablesRequest body{discovery.routes ? discovery.routes->version : 0};
    for (const Member *member : randomMembers(context, 1, isServing)) {
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
    for (const auto &[id, entry] : discovery.searchers) {
        reply.searchers.push_back(entry);
    }
    reply.age = context.now - *discovery.searchersReadAt;
    sendToPeer(context, sender.self.peerAddress, std::move(reply));
}

void handleTablesReply(ReduceContext &context, const PeerSender &sender, const TablesReply &reply)
{
    DiscoveryState &discovery = context.state.control.discovery;
    if (!reply.document.empty()) {
        adoptConfiguration(context, context.state.hooks.readRoutes(reply.document), sender.self.name);
    }
    const TimePoint readAt = context.now - reply.age;
    if (discovery.searchersReadAt && readAt <= *discovery.searchersReadAt + AgeMargin) {
        return;
    }
    discovery.searchers.clear();
    discovery.expiring.clear();
    for (const SearcherEntry &entry : reply.searchers) {
        discovery.searchers[entry.id] = entry;
    }
    discovery.searchersReadAt = readAt;
    // The store's version that belongs to this table is not known here.
    discovery.searchersVersion = 0;
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
