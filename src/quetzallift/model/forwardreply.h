#pragma once

#include "quetzallift/model/clientrequest.h"
#include "quetzallift/model/searcherstatement.h"

#include <string>
#include <vector>

namespace Quetzallift
{
enum class ForwardReplyKind {
    // The searcher ran the request and its reply is complete.
    Success,
    // The searcher reports that it did not run the request.
    NotExecuted,
    // Another searcher now has the address and did not run the request.
    WrongInstance,
    // The searcher ran the request, or may have run it, and failed.
    Failure,
};

// A searcher's complete reply to a forwarded request.
struct ForwardReply {
    ForwardReplyKind kind = ForwardReplyKind::Failure;
    unsigned status = 0;
    // End-to-end headers; hop-by-hop headers are left out.
    std::vector<Header> headers;
    // The searcher's signature of the reply; empty if there is none.
    std::string signature;
    std::string body;
    SearcherStatement statement = {};
};
}
