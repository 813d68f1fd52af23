#pragma once

#include "quetzallift/model/clientrequest.h"

#include <string>
#include <vector>

namespace Quetzallift
{
enum class ForwardReplyKind {
    // The searcher ran the request and its reply is whole.
    Success,
    // The searcher says that it did not run the request.
    NotExecuted,
    // Another searcher has the address; it did not run the request.
    WrongInstance,
    // The searcher ran the request, or may have, and failed.
    Failure,
};

// A searcher's whole reply to a request that was passed on.
struct ForwardReply {
    ForwardReplyKind kind = ForwardReplyKind::Failure;
    unsigned status = 0;
    // Headers that concern the reply rather than one connection.
    std::vector<Header> headers;
    // The searcher's signature of the reply; empty if there is none.
    std::string signature;
    std::string body;
};
}
