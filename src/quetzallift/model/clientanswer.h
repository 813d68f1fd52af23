#pragma once

#include "quetzallift/model/forwardreply.h"
#include "quetzallift/model/time.h"

#include <cstddef>
#include <string>
#include <vector>

namespace Quetzallift
{
enum class ClientAnswerKind {
    // A searcher's reply, unchanged.
    Reply,
    // Records merged from the replies of several shards.
    Merged,
    // Not run, and it never will be; the client may come back after a while.
    Refused,
    // No route takes the request.
    NoRoute,
    // The request may have run and no usable answer came.
    Failed,
    // The same, and its time is over.
    TimedOut,
};

const char *toString(ClientAnswerKind kind);

// What a client gets back.
struct ClientAnswer {
    ClientAnswerKind kind = ClientAnswerKind::Failed;
    // For Reply.
    ForwardReply reply = {};
    // For Merged: the records, the signatures of the parts in them, and how many shards are left out.
    std::string records = {};
    std::vector<std::string> signatures = {};
    std::size_t missing = 0;
    // For Refused.
    Duration retryAfter = Duration::zero();
    // Why, unless the kind is Reply or Merged.
    std::string reason = {};
    // True if the connection must not be used for another request.
    bool closeConnection = false;
};
}
