#include "quetzallift/app/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <map>

namespace Quetzallift
{
namespace
{
// The name, label and help of a counter on the metrics page.
struct Description {
    const char *name;
    const char *label;
    const char *help;
};

const std::map<Metric, Description> &descriptions()
{
    static const std::map<Metric, Description> all = {
        {Metric::Queries, {"quetzallift_queries_total", "back_end", "Queries that arrived"}},
        {Metric::Answers, {"quetzallift_answers_total", "status", "Answers sent"}},
        {Metric::SubRequests, {"quetzallift_sub_requests_total", "back_end", "First sub-requests sent"}},
        {Metric::Hedges, {"quetzallift_hedges_total", "back_end", "Hedges sent"}},
        {Metric::Retries, {"quetzallift_retries_total", "back_end", "Retries sent"}},
        {Metric::Restarts, {"quetzallift_restarts_total", "back_end", "Queries started again on another snapshot"}},
        {Metric::Probes, {"quetzallift_probes_total", "back_end", "Sub-requests that asked whether an announced layout is served"}},
        {Metric::DroppedReplies, {"quetzallift_dropped_replies_total", "cause", "Replies dropped by identity"}},
        {Metric::SubRequestFailures, {"quetzallift_sub_request_failures_total", "kind", "Sub-requests that failed"}},
        {Metric::QueuedSubRequests, {"quetzallift_queued_sub_requests_total", "back_end", "Sub-requests that waited for a connection or the window"}},
        {Metric::RedirectedSubRequests, {"quetzallift_redirected_sub_requests_total", "back_end", "Queued sub-requests given to another searcher"}},
        {Metric::ConnectionsOpened, {"quetzallift_connections_opened_total", "back_end", "Connections opened to searchers"}},
        {Metric::ShedSubRequests, {"quetzallift_shed_sub_requests_total", "back_end", "Sub-requests that searchers shed"}},
        {Metric::FarSubRequests, {"quetzallift_far_sub_requests_total", "back_end", "Sub-requests sent to another data centre"}},
        {Metric::SearcherLimits, {"quetzallift_searcher_limits_total", "back_end", "Searchers that began to limit their requests"}},
        {Metric::SearcherRefusals, {"quetzallift_searcher_refusals_total", "back_end", "Searchers that began to refuse requests for some time"}},
        {Metric::Ejections, {"quetzallift_ejections_total", "cause", "Searchers ejected"}},
        {Metric::SearchersDraining, {"quetzallift_searchers_draining_total", "sign", "Searchers that get no new work because they leave"}},
        {Metric::SearchersBack, {"quetzallift_searchers_back_total", "back_end", "Draining searchers that are used again"}},
        {Metric::Refusals, {"quetzallift_refusals_total", "cause", "Queries refused"}},
        {Metric::ClientRejections,
         {"quetzallift_client_rejections_total", "cause", "Requests refused before they were complete, and clients' connections closed"}},
        {Metric::BundlesAdopted, {"quetzallift_bundles_adopted_total", "", "Bundles adopted"}},
        {Metric::PeerConnectionFailures, {"quetzallift_peer_connection_failures_total", "", "Peer connections that ended with messages not acknowledged"}},
        {Metric::BundlesRefused, {"quetzallift_bundles_refused_total", "source", "Bundles refused by verification"}},
        {Metric::PlatformCalls, {"quetzallift_platform_calls_total", "outcome", "Calls to the platform"}},
    };
    return all;
}

const prometheus::Histogram::BucketBoundaries &latencyBuckets()
{
    static const prometheus::Histogram::BucketBoundaries seconds = {0.001, 0.002, 0.005, 0.01, 0.02, 0.035, 0.05, 0.07, 0.095, 0.15, 0.25, 0.5, 1, 2.5, 10};
    return seconds;
}
}

struct Metrics::Families {
    prometheus::Registry registry;
    std::map<Metric, prometheus::Family<prometheus::Counter> *> counters;
    prometheus::Histogram *latency = nullptr;
    prometheus::Histogram *sendDelay = nullptr;
};

Metrics::Metrics()
    : m_families(std::make_unique<Families>())
{
    for (const auto &[metric, description] : descriptions()) {
        m_families->counters[metric] = &prometheus::BuildCounter().Name(description.name).Help(description.help).Register(m_families->registry);
    }
    auto &latency =
        prometheus::BuildHistogram().Name("quetzallift_query_latency_seconds").Help("Time from a query's arrival to its answer").Register(m_families->registry);
    m_families->latency = &latency.Add({}, latencyBuckets());
    auto &sendDelay = prometheus::BuildHistogram()
                          .Name("quetzallift_send_delay_seconds")
                          .Help("Time from the decision to send a sub-request to its first byte on the connection")
                          .Register(m_families->registry);
    m_families->sendDelay = &sendDelay.Add({}, latencyBuckets());
}

Metrics::~Metrics() = default;

void Metrics::count(const CountMetric &effect)
{
    prometheus::Labels labels;
    if (!effect.label.empty()) {
        labels[descriptions().at(effect.metric).label] = effect.label;
    }
    m_families->counters.at(effect.metric)->Add(labels).Increment(effect.amount);
}

void Metrics::observeLatency(Duration latency)
{
    m_families->latency->Observe(std::chrono::duration<double>(latency).count());
}

void Metrics::observeSendDelay(Duration delay)
{
    m_families->sendDelay->Observe(std::chrono::duration<double>(delay).count());
}

std::string Metrics::page() const
{
    return prometheus::TextSerializer().Serialize(m_families->registry.Collect());
}
}
