#include "quetzallift/query/transmit.h"

#include "quetzallift/core/reducecontext.h"
#include "quetzallift/query/connections.h"

#include <algorithm>

namespace Quetzallift
{
namespace
{
SubRequest makeSubRequest(const RunningQuery &query, const Shard &shard)
{
    SubRequest request;
    request.requestId = query.request.requestId;
    request.backEnd = query.request.backEnd;
    request.shard = shard.id;
    request.snapshot = query.snapshot;
    request.key = query.request.key;
    request.text = query.request.text;
    request.deadline = query.subRequestsUntil;
    return request;
}
}

void transmit(ReduceContext &context, RunningQuery &query, Attempt &attempt, SearcherView &view)
{
    const ConnectionAllowance allowance = connectionAllowance(context.state.query, view.address, context.now);
    const unsigned openBefore = view.open;
    attempt.queued = false;
    attempt.sentAt = context.now;
    attempt.closesConnection = acquireConnection(view, allowance, context.now);
    view.sentTimes.insert(context.now);
    query.sentAnything = true;
    if (view.open > openBefore) {
        context.emit(CountMetric{Metric::ConnectionsOpened, query.request.backEnd});
    }
    if (view.dataCentre != context.state.query.dataCentre) {
        context.emit(CountMetric{Metric::FarSubRequests, query.request.backEnd});
    }
    SendSubRequest send{attempt.id, attempt.searcher, makeSubRequest(query, query.layout->shards[attempt.shardIndex]), attempt.closesConnection};
    if (allowance.rotates) {
        send.request.deadline = std::min(send.request.deadline, allowance.until);
    }
    context.emit(std::move(send));
}
}
