#include "quetzallift/control/discovery/relay.h"

#include "quetzallift/control/discovery/configuration.h"
#include "quetzallift/control/discovery/confirmation.h"
#include "quetzallift/control/discovery/discovery.h"
#include "quetzallift/control/discovery/searchers.h"
#include "quetzallift/control/gossip.h"
#include "quetzallift/control/membership.h"
#include "quetzallift/core/reducecontext.h"

#include <exception>

namespace Quetzallift
{
namespace
{
constexpr Duration PollInterval = std::chrono::seconds(1);
// Used while a restarted host has no searchers: it refuses requests until it has the tables.
constexpr Duration FastPollInterval = std::chrono::milliseconds(100);
// Covers two watches of the store; after a longer time without confirmation a peer may have newer tables.
constexpr Duration TablesAgeLimit = std::chrono::seconds(3);
// A peer's tables must be newer by more than the time that a message may take.
constexpr Duration AgeMargin = std::chrono::milliseconds(500);

bool needsPeerTables(const ReduceContext &context)
{
    const DiscoveryState &discovery = context.state.control.discovery;
    return !discovery.routes || !discovery.searchersReadAt || context.now - *discovery.searchersReadAt > TablesAgeLimit;
}

}

RouteTablePtr parsePeerDocument(ReduceContext &context, const PeerSender &sender, const std::string &document)
{
    try {
        return context.state.hooks.parseRoutes(document);
    } catch (const std::exception &error) {
        context.emit(WriteLog{{LogLevel::Warning, Step::Adopt, sender.self.name, {}, "a peer's configuration cannot be read", {{"reason", error.what()}}}});
        return nullptr;
    }
}

void schedulePeerTablesPoll(ReduceContext &context)
{
    const ControlState &state = context.state.control;
    const bool waiting = !state.discovery.searchersReadAt && !state.self.firstStart;
    context.emit(StartTimer{{TimerKind::PeerTablesPoll, 0}, context.now + (waiting ? FastPollInterval : PollInterval)});
}

void pollPeerTables(ReduceContext &context)
{
    schedulePeerTablesPoll(context);
    pollConfirmation(context);
    if (!needsPeerTables(context)) {
        return;
    }
    DiscoveryState &discovery = context.state.control.discovery;
    discovery.tablesRequestedAt = context.now;
    const TablesRequest body{discovery.routes ? discovery.routes->version : 0, true, discovery.tablesRequests.add(context.now)};
    const std::string &dataCentre = context.state.control.fleet.self.dataCentre;
    std::vector<const Member *> recipients = randomMembers(context, 1, [&dataCentre](const Member &member) {
        return isServing(member) && member.info.dataCentre == dataCentre;
    });
    // A host without searchers polls its own data centre first: tables are large, and traffic between data centres is
    // billed. A host that has searchers polls a serving peer of any data centre.
    if (recipients.empty() || discovery.searchersReadAt) {
        recipients = randomMembers(context, 1, isServing);
    }
    for (const Member *member : recipients) {
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
    reply.number = request.number;
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
        reply.expiring = remainingGrace(context);
    }
    reply.age = context.now - *discovery.searchersReadAt;
    sendToPeer(context, sender.self.peerAddress, std::move(reply));
}

void handleTablesReply(ReduceContext &context, const PeerSender &sender, const TablesReply &reply)
{
    DiscoveryState &discovery = context.state.control.discovery;
    const RouteTablePtr routes = reply.document.empty() ? nullptr : parsePeerDocument(context, sender, reply.document);
    if (routes && adoptConfiguration(context, routes, sender.self.name)) {
        discovery.configurationVersion = std::max(discovery.configurationVersion, reply.configurationVersion);
    }
    // The sender composed the reply after the request was sent.
    const TimePoint requestedAt = discovery.tablesRequests.sentAt(reply.number).value_or(context.state.control.fleet.startedAt);
    const TimePoint readAt = requestedAt - reply.age;
    discovery.tablesRequests.finish(reply.number);
    const bool hasLaterVersion = reply.searchersVersion > discovery.searchersVersion && discovery.searchersVersion != 0;
    const bool hasOlderVersion = reply.searchersVersion != 0 && reply.searchersVersion < discovery.searchersVersion;
    const bool hasLaterRead = !discovery.searchersReadAt || readAt > *discovery.searchersReadAt + AgeMargin;
    if (!reply.withSearchers || hasOlderVersion || !(hasLaterVersion || hasLaterRead)) {
        return;
    }
    applyPeerSearchers(context, reply, readAt);
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(reply.age);
    context.emit(WriteLog{{LogLevel::Info,
                           Step::PassOn,
                           sender.self.name,
                           {},
                           "searchers taken from a peer",
                           {{"searchers", std::to_string(reply.searchers.size())},
                            {"expiring", std::to_string(reply.expiring.size())},
                            {"age_ms", std::to_string(age.count())}}}});
}
}
