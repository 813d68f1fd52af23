#pragma once

namespace Quetzallift
{
// The counters that decisions move. The edge keeps their values.
enum class Metric {
    // Queries that arrived; labelled by back end.
    Queries,
    // Answers sent; labelled by status.
    Answers,
    // First sub-requests sent; labelled by back end.
    SubRequests,
    // Hedges sent; labelled by back end.
    Hedges,
    // Retries sent; labelled by back end.
    Retries,
    // Queries started again because their snapshot went away; labelled by back end.
    Restarts,
    // Sub-requests that asked whether an announced layout is served yet; labelled by back end.
    Probes,
    // Replies that matched no waiting attempt or carried another identity; labelled by cause.
    DroppedReplies,
    // Failed sub-requests; labelled by failure kind.
    SubRequestFailures,
    // Bundles adopted.
    BundlesAdopted,
    // Bundles refused by verification; labelled by source.
    BundlesRefused,
    // Calls to the platform; labelled by outcome.
    PlatformCalls,
};
}
