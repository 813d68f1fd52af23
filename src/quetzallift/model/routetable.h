#pragma once

#include "quetzallift/model/refcounted.h"
#include "quetzallift/model/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Quetzallift
{
// A service that receives a weighted share of a route's requests.
struct WeightedService {
    std::string service;
    double weight = 1.0;
};

// The destination and the execution rules of requests with one host name and path prefix.
struct Route {
    std::string name;
    std::string host;
    std::string pathPrefix;
    // True if a request may run more than once.
    bool idempotent = false;
    // Maximum time from the arrival of a request to its answer.
    Duration timeout = std::chrono::seconds(1);
    // The latency up to which an answer has its full value for the client.
    Duration targetLatency = std::chrono::milliseconds(100);
    // 0 is the highest priority.
    unsigned priority = 0;
    // Maximum number of searchers that may run one request, or one part of a scattered request.
    unsigned maxAttempts = 1;
    // The services among which requests are split; empty if requests are scattered.
    std::vector<WeightedService> split;
    // The services that each run one part of every request, one service for each shard; empty if a request goes to one
    // searcher.
    std::vector<std::string> shards;
    // Maximum number of records in a merged answer, and the minimum share of shards that a useful answer covers.
    std::size_t recordLimit = 0;
    double minimumCoverage = 1.0;

    bool scattered() const
    {
        return !shards.empty();
    }
};

// The configuration of a group of interchangeable searchers.
struct ServicePolicy {
    // Maximum number of connections that one searcher accepts from all hosts together.
    unsigned connectionLimit = 1;
};

// Maximum sizes of client requests, how long a client may take to send the head of a request, and how long its connection may
// stay idle.
struct ClientLimits {
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = 262144;
    Duration headerTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);
};

// One version of the configuration of routes. Immutable.
struct RouteTable : RefCounted<RouteTable> {
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::map<std::string, ServicePolicy> services;
    ClientLimits limits;
    // The operator's document, kept so that it can be relayed unchanged.
    std::string document;

    // Builds the index that match() uses. Must be called once the routes are complete.
    void index();

    // Returns the route of the host with the longest matching path prefix, or null. The port of the host and the query
    // string of the target are ignored.
    const Route *match(std::string_view host, std::string_view target) const;

private:
    // Indexes into `routes` for each host, the longest prefix first.
    std::unordered_map<std::string, std::vector<std::size_t>> m_byHost;
};

using RouteTablePtr = RefPtr<const RouteTable>;
}
