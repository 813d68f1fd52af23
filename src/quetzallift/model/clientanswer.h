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
    // The request was not and will not be run; the client may retry later.
    Refused,
    // No route matches the request.
    NoRoute,
    // The request may have run, and no usable reply was received.
    Failed,
    // The request may have run, and its time limit has passed without a usable reply.
    TimedOut,
};

const char *toString(ClientAnswerKind kind);

// The answer that a client receives.
struct ClientAnswer {
    ClientAnswerKind kind = ClientAnswerKind::Failed;
    // For Reply.
    ForwardReply reply = {};
    // For Merged: the records, the signatures of the merged replies, and the number of missing shards.
    std::string records = {};
    std::vector<std::string> signatures = {};
    std::size_t missing = 0;
    // For Refused.
    Duration retryAfter = Duration::zero();
    // The cause, for all kinds other than Reply and Merged.
    std::string reason = {};
    // True if the connection must not be used for another request.
    bool closeConnection = false;
};
}
