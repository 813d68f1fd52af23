#include "quetzallift/query/probe.h"

#include "quetzallift/core/reducecontext.h"
#include "quetzallift/query/scatter.h"
#include "quetzallift/query/searcherpool.h"

#include <algorithm>

namespace Quetzallift
{
namespace
{
// At most 80 extra sub-requests per second for a back end on each traffic thread: below 1% of the design load of a
// host, and enough to probe 148 shards within two seconds.
constexpr Duration ProbeInterval = std::chrono::milliseconds(50);
constexpr std::size_t ShardsPerProbe = 4;
// Distinguishes the ids of probes from those that the edge assigns to callers' queries.
constexpr std::uint64_t ProbeIdBit = std::uint64_t{1} << 63U;

bool isServed(const QueryState &state, const Layout &layout, const Shard &shard)
{
    return std::any_of(shard.replicas.begin(), shard.replicas.end(), [&](const std::string &replica) {
        const auto record = state.replicaRecords.find(replica);
        return record != state.replicaRecords.end() && record->second.newestSnapshot >= layout.firstSnapshot;
    });
}

RunningQuery makeProbe(QueryState &state, const RunningQuery &query)
{
    RunningQuery probe;
    probe.id = QueryId{++state.lastProbe | ProbeIdBit};
    probe.probe = true;
    probe.request = query.request;
    probe.arrivedAt = query.arrivedAt;
    probe.deadline = query.deadline;
    probe.answerAt = query.answerAt;
    probe.subRequestsUntil = query.subRequestsUntil;
    probe.control = query.control;
    probe.backEnd = query.backEnd;
    probe.layout = &query.backEnd->layouts.back();
    probe.snapshot = probe.layout->firstSnapshot;
    probe.shards.resize(probe.layout->shards.size());
    return probe;
}

// Sends the probe to a few shards that are not known to be served, starting at a random shard.
void sendProbe(ReduceContext &context, RunningQuery &probe)
{
    const std::size_t shards = probe.shards.size();
    const std::size_t first = context.state.hooks.random() % shards;
    for (std::size_t step = 0; step < shards && probe.attemptsWaiting < ShardsPerProbe; ++step) {
        const std::size_t index = (first + step) % shards;
        const std::string *replica = nullptr;
        if (!isServed(context.state.query, *probe.layout, probe.layout->shards[index])) {
            replica = chooseReplica(context, probe, index);
        }
        if (replica != nullptr) {
            sendToReplica(context, probe, index, *replica);
        }
    }
}
}

void probeNewestLayout(ReduceContext &context, RunningQuery &query)
{
    QueryState &state = context.state.query;
    const Layout &newest = query.backEnd->layouts.back();
    TimePoint &next = state.backEnds[query.request.backEnd].nextProbe;
    if (newest.firstSnapshot <= query.snapshot || newest.shards.empty() || context.now < next) {
        return;
    }
    next = context.now + ProbeInterval;
    RunningQuery probe = makeProbe(state, query);
    const QueryId id = probe.id;
    RunningQuery &running = state.queries.emplace(id, std::move(probe)).first->second;
    sendProbe(context, running);
    if (running.attemptsWaiting == 0) {
        state.queries.erase(id);
        return;
    }
    query.mayHaveRun = true;
    context.emit(CountMetric{Metric::Probes, query.request.backEnd, static_cast<double>(running.attemptsWaiting)});
    context.emit(StartTimer{{TimerKind::QueryDeadline, id.value}, running.answerAt});
}
}
