#pragma once

#include "quetzallift/model/refcounted.h"
#include "quetzallift/model/time.h"

#include <optional>
#include <string>
#include <vector>

namespace Quetzallift
{
struct Header {
    std::string name;
    std::string value;
};

// A client's request, which is forwarded unchanged. Immutable after arrival.
struct ClientRequest : RefCounted<ClientRequest> {
    // The client's id of this attempt; empty if it sent none.
    std::string id;
    std::string method;
    std::string host;
    // Path and query as sent.
    std::string target;
    // End-to-end headers; hop-by-hop headers are left out.
    std::vector<Header> headers;
    std::string body;
    // Accounts for the memory of the request.
    LifetimePtr memory;
    // How long the client waits for the answer, if it sent a limit.
    std::optional<Duration> timeLimit;
};

using ClientRequestPtr = RefPtr<const ClientRequest>;
}
