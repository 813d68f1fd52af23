#include "quetzallift/control/burn.h"

#include "quetzallift/control/platformcalls.h"
#include "quetzallift/core/reducecontext.h"

namespace Quetzallift
{
namespace
{
// A host that fails loses at most the counts of about this period. One write per minute and host stays within the
// platform's several hundred writes per second at 5,800 hosts.
constexpr Duration WritePeriod = std::chrono::minutes(1);

std::string objectName(const ControlState &state)
{
    return "burn/" + state.self.name;
}

void readRecord(ReduceContext &context)
{
    PlatformRequest request;
    request.object = objectName(context.state.control);
    callPlatform(context, PlatformPurpose::ReadBurn, std::move(request));
}

void writeRecord(ReduceContext &context)
{
    ControlState &state = context.state.control;
    state.burn.record.writtenAt = context.state.hooks.wallNow();
    PlatformRequest request;
    request.verb = state.burn.version == 0 ? PlatformVerb::Create : PlatformVerb::Update;
    request.object = objectName(state);
    request.version = state.burn.version;
    request.value = state.burn.record;
    callPlatform(context, PlatformPurpose::WriteBurn, std::move(request));
}

void supersede(ReduceContext &context, const std::string &run)
{
    context.state.control.burn.superseded = true;
    const std::string message = "run " + run + " of this host now writes the counts; this run stops writing them";
    context.emit(WriteLog{{LogLevel::Warning, Step::Renew, "platform", {}, message}});
}
}

void startBurn(ReduceContext &context)
{
    ControlState &state = context.state.control;
    state.burn.record.host = state.self.name;
    state.burn.record.run = std::to_string(context.state.hooks.random());
    context.emit(StartTimer{{TimerKind::BurnWrite, 0}, context.now + jitter(context, WritePeriod)});
}

void handleServiceReported(ReduceContext &context, const ServiceReported &event)
{
    context.state.control.burn.record.count(context.state.hooks.wallNow(), event.table);
}

void syncBurn(ReduceContext &context)
{
    const BurnState &burn = context.state.control.burn;
    if (burn.superseded) {
        return;
    }
    if (burn.versionKnown) {
        writeRecord(context);
    } else {
        readRecord(context);
    }
    context.emit(StartTimer{{TimerKind::BurnWrite, 0}, context.now + WritePeriod / 2 + jitter(context, WritePeriod)});
}

void handleBurnRead(ReduceContext &context, const PlatformReply &reply)
{
    BurnState &burn = context.state.control.burn;
    if (reply.outcome == PlatformOutcome::Unknown) {
        return;
    }
    const auto *stored = std::get_if<BurnRecord>(&reply.value);
    if (stored != nullptr && stored->run != burn.record.run && burn.merged) {
        supersede(context, stored->run);
        return;
    }
    if (stored != nullptr && stored->run != burn.record.run) {
        burn.record.addEarlierRun(*stored);
    }
    burn.version = reply.version;
    burn.versionKnown = true;
    burn.merged = true;
    writeRecord(context);
}

void handleBurnWritten(ReduceContext &context, const PlatformReply &reply)
{
    if (reply.outcome == PlatformOutcome::Applied) {
        context.state.control.burn.version = reply.version;
        return;
    }
    // An answer was lost, or another run wrote. The object is read at the next period, before the next write. Reading it
    // immediately would loop without a pause while the platform refuses every write.
    context.state.control.burn.versionKnown = false;
}
}
