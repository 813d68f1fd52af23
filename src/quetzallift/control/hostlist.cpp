#include "quetzallift/control/hostlist.h"

#include "quetzallift/control/membership.h"
#include "quetzallift/control/platformcalls.h"
#include "quetzallift/control/publish.h"
#include "quetzallift/control/watchers.h"
#include "quetzallift/core/reducecontext.h"

namespace Quetzallift
{
namespace
{
constexpr Duration PollPeriod = std::chrono::seconds(2);
}

void readHostList(ReduceContext &context)
{
    ControlState &state = context.state.control;
    if (state.hostListReadPending) {
        return;
    }
    state.hostListReadPending = true;
    state.hostListRequestedAt = context.now;
    PlatformRequest request;
    request.verb = PlatformVerb::ReadHosts;
    callPlatform(context, PlatformPurpose::ReadHosts, std::move(request));
}

void handleHostListReply(ReduceContext &context, const PlatformReply &reply)
{
    ControlState &state = context.state.control;
    state.hostListReadPending = false;
    const auto *hosts = std::get_if<HostListRecord>(&reply.value);
    if (reply.outcome == PlatformOutcome::Applied && hosts != nullptr) {
        const std::set<std::string> leavingBefore = leavingSearchers(state);
        state.hostList = *hosts;
        state.hostListReadAt = state.hostListRequestedAt;
        seedMembers(context, *hosts);
        if (leavingSearchers(state) != leavingBefore) {
            publishSnapshot(context);
        }
    }
    const Duration wait = state.watching ? PollPeriod / 2 + jitter(context, PollPeriod) : pollPeriod(context);
    context.emit(StartTimer{{TimerKind::HostListPoll, ++state.hostListSerial}, context.now + wait});
}
}
