#include "tests/control/discoveryfixture.h"

using namespace Quetzallift;

// Guards against a control thread that ends, or loses the rest of a reply, because a peer sent a configuration that cannot
// be read.
Test(malformedtables, unreadableConfigurationOfAPeerIsIgnored)
{
    DiscoveryFixture host;
    PeerMessage message;
    message.sender.self = {"peer", {1, 0}, MemberStatus::Live, false, "10.0.0.3:80", "10.0.0.3:81", "", {}};
    TablesReply reply;
    reply.document = "not a configuration";
    reply.configurationVersion = 9;
    reply.searchers.push_back({"x", "s", "10.0.0.2:80", "a", 2, false, {}, 1});
    message.body = reply;
    host.apply(PeerMessageArrived{"10.0.0.3:81", message});
    cr_assert_null(host.state.control.discovery.routes.get());
    cr_assert(host.state.control.discovery.searchers.contains("x"));
    cr_assert_eq(host.state.control.discovery.configurationVersion, 0U);
}
