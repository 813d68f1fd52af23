#pragma once

namespace Quetzallift
{
// The counters that decisions increment. The edge holds their values.
enum class Metric {
    // Queries that arrived; labelled by back end.
    Queries,
    // Answers sent; labelled by status.
    Answers,
    // First sub-requests sent; labelled by back end or service.
    SubRequests,
    // Hedges sent; labelled by back end or service.
    Hedges,
    // Retries sent; labelled by back end or service.
    Retries,
    // Queries restarted because their snapshot was no longer available; labelled by back end.
    Restarts,
    // Sub-requests sent to probe whether an announced layout is served yet; labelled by back end.
    Probes,
    // Replies that matched no pending attempt or had mismatched identity fields; labelled by cause.
    DroppedReplies,
    // Failed sub-requests; labelled by failure kind.
    SubRequestFailures,
    // Sub-requests that waited for a connection or the window; labelled by back end.
    QueuedSubRequests,
    // Sub-requests moved from the queue of one searcher to another; labelled by back end.
    RedirectedSubRequests,
    // Connections opened to searchers; labelled by back end for queries.
    ConnectionsOpened,
    // Sub-requests that searchers shed; labelled by back end.
    ShedSubRequests,
    // Sub-requests sent to another data centre; labelled by back end.
    FarSubRequests,
    // Searchers that began to limit their requests; labelled by service.
    SearcherLimits,
    // Searchers that began to refuse requests for some time; labelled by service.
    SearcherRefusals,
    // Searchers ejected; labelled by cause.
    Ejections,
    // Searchers that receive no new work because they are leaving; labelled by how the leaving was detected.
    SearchersDraining,
    // Draining searchers that became available again; labelled by back end.
    SearchersBack,
    // Queries refused; labelled by cause.
    Refusals,
    // Requests refused before they were complete, and connections of clients closed; labelled by cause.
    ClientRejections,
    // Bundles or configurations adopted.
    BundlesAdopted,
    // Connections to peers that ended with unacknowledged messages.
    PeerConnectionFailures,
    // Bundles refused by verification; labelled by source.
    BundlesRefused,
    // Calls to the platform; labelled by outcome.
    PlatformCalls,
};
}
