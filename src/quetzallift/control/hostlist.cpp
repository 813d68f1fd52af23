#include "quetzallift/control/hostlist.h"

#include "quetzallift/control/platformcalls.h"
#include "quetzallift/control/publish.h"
#include "quetzallift/core/reducecontext.h"

namespace Quetzallift
{
namespace
{
constexpr Duration PollPeriod = std::chrono::seconds(2);
}

void readHostList(ReduceContext &context)
{
    PlatformRequest request;
    request.verb = PlatformVerb::ReadHosts;
    callPlatform(context, PlatformPurpose::ReadHosts, std::move(request));
}

void handleHostListReply(ReduceContext &context, const PlatformReply &reply)
{
    const auto *hosts = std::get_if<HostListRecord>(&reply.value);
    if (reply.outcome == PlatformOutcome::Applied && hosts != nullptr) {
        context.state.control.hostList = *hosts;
        publish(context);
    }
    context.emit(StartTimer{{TimerKind::HostListPoll, 0}, context.now + PollPeriod / 2 + jitter(context, PollPeriod)});
}
}
