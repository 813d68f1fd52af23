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
// A service that takes a share of a route's requests.
struct WeightedService {
    std::string service;
    double weight = 1.0;
};

// Where requests of one host name and path prefix go, and how they are run.
struct Route {
    std::string name;
    std::string host;
    std::string pathPrefix;
    // True if a request may run more than once.
    bool idempotent = false;
    // The longest time for which a client is kept waiting.
    Duration timeout = std::chrono::seconds(1);
    // The time within which an answer is of full use to the client.
    Duration targetLatency = std::chrono::milliseconds(100);
    // 0 is the most urgent.
    unsigned priority = 0;
    // Searchers that may run one request, or one part of it if the request is scattered.
    unsigned maxAttempts = 1;
    // The services that share the requests; empty if the request is scattered.
    std::vector<WeightedService> split;
    // The services that each run a part of every request, one a shard; empty if the request goes to one searcher.
    std::vector<std::string> shards;
    // Records in a merged answer, and the least share of shards with which it is of use.
    std::size_t recordLimit = 0;
    double minimumCoverage = 1.0;

    bool scattered() const
    {
        return !shards.empty();
    }
};

// What the configuration says of a group of interchangeable searchers.
struct ServicePolicy {
    // Connections that one searcher accepts from all hosts together.
    unsigned connectionLimit = 1;
};

// What clients may send, and how long a connection may stay idle.
struct ClientLimits {
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = 262144;
    Duration idleTimeout = std::chrono::seconds(15);
};

// One version of the configuration of routes. Immutable.
struct RouteTable : RefCounted<RouteTable> {
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::map<std::string, ServicePolicy> services;
    ClientLimits limits;
    // The document that the operator wrote, kept so that it can be passed on unchanged.
    std::string document;

    // Builds the index that match() uses; to be called once the routes are complete.
    void index();

    // The route of the host with the longest prefix that begins the path, or null. A port behind the host and a query
    // behind the path do not count.
    const Route *match(std::string_view host, std::string_view target) const;

private:
    // Routes of each host by their place in `routes`, the longest prefix first.
    std::unordered_map<std::string, std::vector<std::size_t>> m_byHost;
};

using RouteTablePtr = RefPtr<const RouteTable>;
}
